#!/bin/sh
# Makes a release build without tests in the directory $1.  The directory may be absent,
# empty or an existing build directory.
set -eu
cd "$(dirname "$0")/.."
test -f "$1/build.ninja" || meson setup "$1" --buildtype=release -Db_lto=true -Dtests=false >/dev/null
ninja -C "$1"
