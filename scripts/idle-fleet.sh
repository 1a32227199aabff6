#!/bin/sh
# Measures the cost of an idle instance by the number of instances: processor time, memory
# and bytes sent to peers, in real processes.
set -eu
build=${1:-build}
seconds=10
centres=3
for count in 4 8 16 32; do
  dir=$(mktemp -d)
  . "$(dirname "$0")/fleet.sh"
  trap 'stop_fleet; rm -rf "$dir"' EXIT INT TERM
  start_fleet $count 3
  sleep 5
  measure() {
    total=0; bytes=0; rss=0; i=0
    while [ $i -lt $count ]; do
      eval "pid=\$instance_$i"
      total=$((total + $(awk '{print $14 + $15}' "/proc/$pid/stat")))
      rss=$((rss + $(awk '/VmRSS/ {print $2}' "/proc/$pid/status")))
      bytes=$((bytes + $(curl -s "http://127.0.0.1:$((19300 + i))/metrics" |
        awk '/peer_bytes_sent_total/ {print $2}')))
      i=$((i + 1))
    done
  }
  measure; total0=$total; bytes0=$bytes
  sleep $seconds
  measure
  awk "BEGIN {printf \"instances %d: core %.2f %%, %.0f bytes/s sent, %.1f MB each\n\", $count,
    ($total - $total0) / $seconds / $count, ($bytes - $bytes0) / $seconds / $count, $rss / 1024 / $count}"
  stop_fleet
  rm -rf "$dir"
done
trap - EXIT
