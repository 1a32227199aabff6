#!/bin/sh
# Builds the cases of the second review, with the project's stand-ins that they use, into
# target/review-2.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
libraries="glib-2.0 jansson libmicrohttpd"
mkdir -p "$out"
for number in 6 7 8 9 10; do
  test -f "review/$number/case.c" || continue
  # shellcheck disable=SC2046
  cc -O1 -g -Wall -D_GNU_SOURCE -I. -Iinclude -Itests/standin -Ireview/standin-2 \
    $(pkg-config --cflags $libraries) -o "$out/case-$number" "review/$number/case.c" \
    review/standin-2/rig.c tests/standin/harmful.c tests/standin/listen.c \
    tests/standin/objects.c tests/standin/replica.c tests/standin/replica_session.c \
    common/address.c $(pkg-config --libs $libraries) -pthread
done
