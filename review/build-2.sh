#!/bin/sh
# Builds the stand-ins and the cases of this review.  The build of the deploy
# file has to come first: it makes target/libgs.a and target/garnetstack.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
packages="glib-2.0 jansson libcurl libmicrohttpd libxxhash ck log4c msgpack zlib"
# shellcheck disable=SC2086,SC2046
for number in 6 7 8 9 10; do
  case=review/$number/case.c
  [ -f "$case" ] || continue
  gcc -std=gnu11 -O1 -g -Wall -D_GNU_SOURCE -I include -I src -I . -I tests \
    $(pkg-config --cflags $packages) -o "$out/case-$number" \
    "$case" review/stand-2/stand.c tests/gateway_world.c tests/world_store.c \
    tests/world_replica.c tests/raw_http.c tests/raw_proxy.c \
    tests/reserved_port.c target/libgs.a $(pkg-config --libs $packages) \
    -lpthread -lm
done
