#!/bin/sh
# Builds the stand-ins and the programs of the cases into review/bin.  Needs
# what the deploy file's build needs: a C compiler, glib and jansson.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
flags="-O2 -Wall -Wextra -Iinclude -Isrc -Itests
  $(pkg-config --cflags glib-2.0 jansson)"
libraries="$(pkg-config --libs glib-2.0 jansson) -lpthread"
shared="review/stand/stand.c tests/gateway_world.c tests/world_store.c
  tests/world_replica.c tests/raw_http.c tests/raw_proxy.c
  tests/reserved_port.c src/util/clock.c"
for source in review/[1-5]/*.c; do
  [ -f "$source" ] || continue
  name="case-$(basename "$(dirname "$source")")"
  # shellcheck disable=SC2086
  ${CC:-cc} $flags -o "review/bin/$name" "$source" $shared $libraries
done
