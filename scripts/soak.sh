#!/bin/sh
# Runs eight instances in three data centres under load while instances are killed,
# restarted and paused, an engine has a planned stop and the store does not respond.
# Takes the given number of seconds (default 40) of real time; not part of CI.  Fails if a
# response is wrong, if a non-idempotent request ran twice, or if a request that was
# reported as not executed did run.
set -eu
build=${1:-build}
seconds=${2:-40}
dir=$(mktemp -d)
. "$(dirname "$0")/fleet.sh"
trap 'stop_fleet; rm -rf "$dir"' EXIT INT TERM
start_fleet 8 6
sleep 3
"$build/tests/load" --targets "$(list_of 19200 8)" --engines "$(list_of 19100 6)" \
  --callers 64 --seconds "$seconds" >"$dir/load.txt" 2>"$dir/load.err" &
load=$!
sleep 4; echo "kill -9 instance 1"; kill -9 "$instance_1"
sleep 3; echo "restart instance 1"; start_instance 1
sleep 3; echo "pause instance 2 for 5 s"; kill -STOP "$instance_2"
sleep 5; kill -CONT "$instance_2"
sleep 2; echo "pause the store for 5 s"; kill -STOP "$store"
sleep 5; kill -CONT "$store"
echo "planned stop of engine 3"
"$build/hornbeamwall" stop -a 127.0.0.1:19300 -t admin add e3 || true
sleep 2; echo "planned stop of instance 4"; kill "$instance_4"
sleep 3; echo "kill -9 instance 0"; kill -9 "$instance_0"; sleep 2; start_instance 0
sleep 2; echo "rollout"; "$build/hornbeamwall" catalogue -a 127.0.0.1:19303 -t admin rollout || true
status=0
wait "$load" || status=$?
cat "$dir/load.err" | head -20
cat "$dir/load.txt"
[ "$status" -eq 0 ] && echo "soak passed" || { echo "soak failed"; cp "$dir"/i*.log . 2>/dev/null || true; }
exit $status
