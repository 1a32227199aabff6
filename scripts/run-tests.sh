#!/bin/sh
# Runs all tests of a build directory and prints the sum of their results.  SEEDS limits
# the seeds of each scenario.  0 skips the scenarios, for thread sanitizer builds:
# scenarios are single-threaded.
set -u
build=${1:-build}
passed=0
failed=0
run() {
  out=$("$@" 2>&1)
  status=$?
  line=$(printf '%s\n' "$out" | grep -E '^[0-9]+ passed, [0-9]+ failed$' | tail -n 1)
  if [ -z "$line" ]; then
    printf '%s\n' "$out" | tail -n 40
    line="0 passed, 1 failed"
  elif [ "$status" -ne 0 ]; then
    printf '%s\n' "$out" | tail -n 40
    [ "${line##*, }" = "0 failed" ] && line="${line%%,*}, 1 failed"
  fi
  printf '%s\n' "$out" | grep '^known red: ' || true
  echo "$(basename "$1"): $line"
  passed=$((passed + ${line%% passed*}))
  rest=${line##*, }
  failed=$((failed + ${rest%% failed}))
}
for test in "$build"/tests/*_test; do
  case "$test,${SEEDS:-}" in
  *scenario_test,) run "$test" ;;
  *scenario_test,0) ;;
  *scenario_test,*) run "$test" --most "$SEEDS" ;;
  *) run "$test" ;;
  esac
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
