#!/bin/sh
# Builds the program without its tests into the folder $1, which may exist and be empty.
set -eu
cd "$(dirname "$0")/.."
test -f "$1/build.ninja" || meson setup "$1" --buildtype=release -Dtests=false >/dev/null
ninja -C "$1"
