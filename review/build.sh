#!/bin/sh
# Builds the stand-ins and the checks of the cases into review/build/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/build
flags="-std=gnu11 -O1 -g -Wall -Wextra -pthread -Iinclude -Itests -Ireview/standin"
libraries=$(pkg-config --cflags --libs glib-2.0 jansson libmicrohttpd)
for source in review/[0-9]*/check.c; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  # shellcheck disable=SC2086
  cc $flags -o "review/build/check-$number" "$source" review/standin/rig.c \
    tests/standin/objects.c tests/standin/listen.c common/address.c $libraries
done
