#!/bin/sh
# Prints the number of non-blank lines of C code and the share of test code.
cd "$(dirname "$0")/.."
lines() { git ls-files -z -- "$@" | xargs -0 cat | grep -c '[^[:space:]]'; }
all=$(lines '*.c' '*.h')
tests=$(lines 'tests/*.c' 'tests/*.h')
echo "lines $all, of which tests $tests ($((100 * tests / all)) %)"
