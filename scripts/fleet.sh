# Functions that start a store, engines and instances in three data centres on loopback.
# Sourced by other scripts, which set $build and the directory $dir, and may set $centres
# (data centres, default 3), and for the engines $slots (default 8) and $first_ms (time to
# the first token, default 10).
pids=
stop_fleet() {
  for pid in $pids; do kill -CONT "$pid" 2>/dev/null || true; kill "$pid" 2>/dev/null || true; done
  sleep 0.5
  for pid in $pids; do kill -9 "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
key_hash() { printf '%s\n' "$1" | "$build/hornbeamwall" hash-key; }

write_catalogue() {
  cat >"$dir/catalogue.json" <<EOF
{"classes": {
  "top": {"tier": 0, "first_token_ms": 390, "inter_token_ms": 44, "deadline_ms": 20000},
  "low": {"tier": 2, "first_token_ms": 60000, "inter_token_ms": 1000}},
 "pools": {"m": {"kind": "model"}},
 "organisations": {"o": {"keys": ["$(key_hash key)"], "classes": ["top", "low"]}}}
EOF
}

# write_servers ENGINES: writes the servers document.  Engine i listens on port 19100 + i;
# engines are assigned to the data centres round-robin.
write_servers() {
  {
    printf '{"servers": ['
    i=0
    while [ $i -lt "$1" ]; do
      [ $i -gt 0 ] && printf ','
      printf '{"id": "e%d", "pool": "m", "data_centre": "dc%d", "address": "127.0.0.1:%d", "slots": 8, "start": 1}' \
        $i $((i % ${centres:-3} + 1)) $((19100 + i))
      i=$((i + 1))
    done
    printf ']}'
  } >"$dir/servers.json"
}

# write_settings I: writes the settings of instance I in data centre I % 3 + 1.
write_settings() {
  cat >"$dir/i$1.json" <<EOF
{"name": "i$1", "data_centre": "dc$(($1 % ${centres:-3} + 1))",
 "caller_address": "127.0.0.1:$((19200 + $1))", "admin_address": "127.0.0.1:$((19300 + $1))",
 "peer_address": "127.0.0.1:$((19400 + $1))", "platform_address": "127.0.0.1:19000",
 "admin_token_sha256": "$token", "connect_timeout_ms": 300, "stall_timeout_ms": 3000,
 "seeds": ["127.0.0.1:19400", "127.0.0.1:19401", "127.0.0.1:19402"]}
EOF
}

# start_engine I [TOKEN_MS [ABORT_EVERY]]: starts engine I with TOKEN_MS (default 5) between
# tokens.  It aborts every ABORT_EVERYth response; 0, the default, aborts none.
start_engine() {
  "$build/tests/standin" engine "127.0.0.1:$((19100 + $1))" "${slots:-8}" "${first_ms:-10}" "${2:-5}" "${3:-0}" &
  eval "engine_$1=$!"
  pids="$pids $!"
}

start_instance() {
  "$build/hornbeamwall" serve --config "$dir/i$1.json" 2>>"$dir/i$1.log" &
  eval "instance_$1=$!"
  pids="$pids $!"
}

start_store() {
  "$build/tests/standin" store 127.0.0.1:19000 \
    hornbeamwall-catalogue "$dir/catalogue.json" servers "$dir/servers.json" &
  store=$!
  pids="$pids $!"
}

# start_fleet INSTANCES ENGINES: starts everything and waits until all instances are ready.
start_fleet() {
  token=$(key_hash admin)
  write_catalogue
  write_servers "$2"
  start_store
  i=0; while [ $i -lt "$2" ]; do start_engine $i; i=$((i + 1)); done # 5 ms a token
  i=0; while [ $i -lt "$1" ]; do write_settings $i; start_instance $i; i=$((i + 1)); done
  i=0
  while [ $i -lt "$1" ]; do
    tries=0
    until curl -fs "http://127.0.0.1:$((19200 + i))/readyz" >/dev/null 2>&1; do
      tries=$((tries + 1))
      [ $tries -lt 200 ] || { echo "instance $i did not become ready" >&2; exit 1; }
      sleep 0.1
    done
    i=$((i + 1))
  done
}

# list_of FIRST COUNT: prints COUNT addresses from port FIRST on, separated by commas.
list_of() {
  out=
  k=0
  while [ $k -lt "$2" ]; do out="$out${out:+,}127.0.0.1:$(($1 + k))"; k=$((k + 1)); done
  echo "$out"
}
