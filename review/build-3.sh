#!/bin/sh
# Prepares the stand-ins of the cases 11 to 15.  They are written in Python, which the
# build of the deploy file needs for Meson; nothing is compiled.
set -e
cd "$(dirname "$0")/.."
test -x target/hornbeamwall || {
  echo "build the deploy file first: sh scripts/build-release.sh target" >&2
  exit 2
}
for file in review/standin-3/standin.py review/1[1-5]/case.py; do
  test ! -f "$file" || python3 -c \
    'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
