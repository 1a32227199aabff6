#!/bin/sh
# Runs all tests of a build directory and prints the sum of their results.  SEEDS limits
# the seeds of each scenario.  0 skips the scenarios, for thread sanitizer builds:
# scenarios are single-threaded.  They run in virtual time, so that their parts run
# beside each other and beside the other tests without a change of their results.
set -u
build=${1:-build}
parts=3
results=$(mktemp -d)
trap 'rm -rf "$results"' EXIT

# run NAME COMMAND...: prints what failed and a line "NAME: N passed, N failed".
run() {
  name=$1
  shift
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
  echo "$name: $line"
}

part=0
while [ "${SEEDS:-}" != 0 ] && [ "$part" -lt "$parts" ]; do
  run "scenario_test $part/$parts" "$build/tests/scenario_test" --part "$part/$parts" \
    ${SEEDS:+--most "$SEEDS"} >"$results/scenarios-$part" &
  part=$((part + 1))
done
for test in "$build"/tests/*_test; do
  case "$test" in
  *scenario_test) ;;
  *) run "$(basename "$test")" "$test" | tee "$results/$(basename "$test")" ;;
  esac
done
wait
cat "$results"/scenarios-* 2>/dev/null || true
sums=$(cat "$results"/* | sed -n 's/^.*: \([0-9]*\) passed, \([0-9]*\) failed$/\1 \2/p' |
  awk '{ passed += $1; failed += $2 } END { print passed + 0, failed + 0 }')
echo "${sums% *} passed, ${sums#* } failed"
[ "${sums#* }" -eq 0 ]
