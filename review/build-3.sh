#!/bin/sh
# Builds the stand-ins of the scripts review/11 and later, after the build of
# the deploy file, whose library and headers they use.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
packages="glib-2.0 libcurl libmicrohttpd jansson libxxhash ck log4c msgpack
  zlib"
world="tests/gateway_world.c tests/world_store.c tests/world_replica.c
  tests/world_desk.c tests/raw_http.c tests/raw_proxy.c tests/reserved_port.c"
for number in 11 12 13 14 15; do
  [ -f "review/$number/case.c" ] || continue
  # shellcheck disable=SC2046,SC2086
  cc -std=gnu11 -O2 -g -D_GNU_SOURCE -Iinclude -Isrc -I. -Itests \
    "review/$number/case.c" $world target/libgs.a \
    $(pkg-config --cflags --libs $packages) -lpthread -lm \
    -o "target/review-3/case-$number"
done
