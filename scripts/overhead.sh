#!/bin/sh
# Measures the overhead of an instance: time to first byte compared with a direct call of
# an engine, processor time per request, and memory by the number of requests in progress
# and waiting.
set -eu
build=${1:-build}
dir=$(mktemp -d)
centres=1
slots=400
first_ms=20
. "$(dirname "$0")/fleet.sh"
trap 'stop_fleet; rm -rf "$dir"' EXIT INT TERM
sed_slots() { sed -i "s/\"slots\": 8/\"slots\": $1/g" "$dir/servers.json"; }
token=$(key_hash admin); write_catalogue; write_servers 4; sed_slots 400; start_store
for i in 0 1 2 3; do start_engine $i; done
write_settings 0; start_instance 0
until curl -fs http://127.0.0.1:19200/readyz >/dev/null 2>&1; do sleep 0.1; done
# Processor time in clock ticks of 10 ms.
ticks() { awk '{print $14 + $15}' "/proc/$instance_0/stat"; }
rss() { awk '/VmRSS/ {print $2}' "/proc/$instance_0/status"; }
run() { "$build/tests/load" --direct --targets "$1" --callers "$2" --seconds 8 --tokens "${3:-24}"; }
echo "direct, 16 callers:  $(run "$(list_of 19100 4)" 16)"
before=$(ticks)
out=$(run "$(list_of 19200 1)" 16)
after=$(ticks)
echo "through, 16 callers: $out"
requests=$(echo "$out" | awk '{print $2}')
echo "processor time per request, ms: $(awk "BEGIN {print ($after - $before) * 10 / $requests}")"
for tokens in 10 100 300; do
  before=$(ticks)
  out=$(run "$(list_of 19200 1)" 32 $tokens)
  after=$(ticks)
  requests=$(echo "$out" | awk '{print $2}')
  echo "up to $tokens tokens: $(awk "BEGIN {print ($after - $before) * 10 / $requests}") ms per request"
done
idle=$(rss)
for callers in 32 64 128 256; do
  run "$(list_of 19200 1)" $callers >/dev/null &
  load=$!
  sleep 5
  echo "callers $callers: $(rss) KB ($idle KB before)"
  wait "$load"
done
# Measures the event loop, which serves the users' platform, for comparison: one instance,
# all stand-ins in one other process, persistent connections.
platform_run() { # path
  "$build/tests/path_load" "$dir/platform.json" "$1" 16 8 >"$dir/path_load.txt" &
  load=$!
  while [ ! -s "$dir/platform.json" ]; do sleep 0.05; done
  "$build/hornbeamwall" serve --config "$dir/platform.json" >"$dir/platform.log" 2>&1 &
  instance_p=$!
  until grep -q serving "$dir/path_load.txt"; do
    kill -0 "$load" || return 1
    sleep 0.05
  done
  begun=$(awk '{print $14 + $15}' "/proc/$instance_p/stat")
  sleep 7
  ended=$(awk '{print $14 + $15}' "/proc/$instance_p/stat")
  wait "$load"
  kill "$instance_p"
  wait "$instance_p" || true
  # The load runs for 8 s, the processor time is measured over 7 s of them.
  requests=$(awk '/^requests/ {print $2 * 7 / 8}' "$dir/path_load.txt")
  echo "platform, 16 callers, $1: $(tail -n 1 "$dir/path_load.txt")," \
    "$(awk "BEGIN {print ($ended - $begun) * 10 / $requests}") ms per request," \
    "$(awk "BEGIN {print $requests / (($ended - $begun) / 100)}") requests per core-second"
  rm -f "$dir/platform.json"
}
platform_run /safe/ok
platform_run /stream/events
