#!/bin/sh
# Runs a demonstration on loopback with two engines, a plain service, a store and one
# instance: sends requests of two classes and prints the responses and the latency
# histograms.
set -eu
build=${1:-build}
dir=$(mktemp -d)
pids=
stop_all() {
  for pid in $pids; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$dir"
}
trap stop_all EXIT INT TERM

key_hash() { printf '%s\n' "$1" | "$build/hornbeamwall" hash-key; }

cat >"$dir/catalogue.json" <<EOF
{
  "classes": {
    "narration": {"tier": 0, "first_token_ms": 390, "inter_token_ms": 44, "deadline_ms": 10000},
    "archive": {"tier": 2, "first_token_ms": 60000, "inter_token_ms": 1000}
  },
  "pools": {
    "assistant": {"kind": "model"},
    "gazetteer": {"kind": "service", "idempotent": false}
  },
  "organisations": {
    "ring": {"keys": ["$(key_hash ring-key)"], "classes": ["narration"]},
    "library": {"keys": ["$(key_hash library-key)"], "classes": ["archive"],
                "limits": {"requests_per_s": 50}}
  }
}
EOF
cat >"$dir/servers.json" <<EOF
{"servers": [
  {"id": "e1", "pool": "assistant", "data_centre": "dc1", "address": "127.0.0.1:18081", "slots": 8, "start": 1},
  {"id": "e2", "pool": "assistant", "data_centre": "dc1", "address": "127.0.0.1:18082", "slots": 8, "start": 1},
  {"id": "g1", "pool": "gazetteer", "data_centre": "dc1", "address": "127.0.0.1:18083", "slots": 4, "start": 1}
]}
EOF
cat >"$dir/settings.json" <<EOF
{
  "name": "demo-1",
  "data_centre": "dc1",
  "caller_address": "127.0.0.1:18080",
  "admin_address": "127.0.0.1:18090",
  "peer_address": "127.0.0.1:18091",
  "platform_address": "127.0.0.1:18070",
  "admin_token_sha256": "$(key_hash demo-token)"
}
EOF

for port in 18081 18082 18083; do
  "$build/tests/standin" engine "127.0.0.1:$port" 8 30 10 & pids="$pids $!"
done
"$build/tests/standin" store 127.0.0.1:18070 \
  hornbeamwall-catalogue "$dir/catalogue.json" servers "$dir/servers.json" & pids="$pids $!"
"$build/hornbeamwall" check-config "$dir/settings.json"
"$build/hornbeamwall" serve --config "$dir/settings.json" & pids="$pids $!"
tries=0
until curl -fs http://127.0.0.1:18080/readyz >/dev/null 2>&1; do
  tries=$((tries + 1))
  [ "$tries" -lt 100 ] || { echo "the instance did not become ready" >&2; exit 1; }
  sleep 0.1
done

call() { # key path body
  curl -sS -H "Authorization: Bearer $1" -H 'Content-Type: application/json' \
    -d "$3" "http://127.0.0.1:18080$2"
  echo
}
echo "--- narration, streaming"
call ring-key /v1/chat/completions \
  '{"model":"assistant","stream":true,"max_tokens":5,"tag":"lot-42","messages":[{"role":"user","content":"Narrate lot 42"}]}'
echo "--- archive, not streamed"
call library-key /v1/chat/completions \
  '{"model":"assistant","max_tokens":12,"tag":"parish-7","messages":[{"role":"user","content":"Match this record"}]}'
echo "--- a plain service"
call library-key /services/gazetteer/entries '{"tag":"entry-9","max_tokens":1}'
echo "--- an unknown key"
call no-key /v1/chat/completions '{"model":"assistant"}'
echo "--- histograms"
curl -sS http://127.0.0.1:18090/metrics |
  grep -E 'class=.*(first_token|total)|_(first_token|total)_seconds_(bucket|count).*class=' |
  grep -vE '_total\{' || true
