#!/bin/sh
# Prints how much of the C code is test code, in lines that are not blank.
cd "$(dirname "$0")/.."
lines() { git ls-files -z -- "$@" | xargs -0 cat | grep -c '[^[:space:]]'; }
all=$(lines '*.c' '*.h')
tests=$(lines 'tests/*.c' 'tests/*.h')
echo "lines $all, of which tests $tests ($((100 * tests / all)) %)"
