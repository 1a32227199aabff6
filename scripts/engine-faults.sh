#!/bin/sh
# Sends load from 64 callers through one instance to four engines, of which one is killed
# during streams, one is a straggler and one aborts responses.  Checks every response.
# Takes the given number of seconds (default 30) of real time; not part of CI.
set -eu
build=${1:-build}
seconds=${2:-30}
dir=$(mktemp -d)
centres=1
. "$(dirname "$0")/fleet.sh"
trap 'stop_fleet; rm -rf "$dir"' EXIT INT TERM
start_fleet 1 4
kill "$engine_3" "$engine_2"; sleep 0.5
start_engine 3 40   # a straggler
start_engine 2 5 20 # aborts every 20th response
"$build/tests/load" --targets "$(list_of 19200 1)" --engines "$(list_of 19100 4)" \
  --callers 64 --seconds "$seconds" >"$dir/load.txt" &
load=$!
sleep 8; echo "kill -9 engine 1"; kill -9 "$engine_1"
sleep 6; echo "restart engine 1"; start_engine 1
status=0
wait "$load" || status=$?
cat "$dir/load.txt"
# Counts the log events on backend servers (5xxx) and requests (6xxx).
grep -E 'event=(5|6)' "$dir/i0.log" | sed 's/.*event=/event=/' | sort | uniq -c | sort -rn | head -8
exit $status
