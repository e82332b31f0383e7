# For the scripts with a service without models; sourced after functions.sh.
need "$stand_ins/repeating_runner"
ran=$dir/ran.txt
: >"$ran"

configure() {
  cat >"$dir/configuration.json" <<'JSON'
{"version": 1,
 "routes": [
  {"name": "reservations", "hostname": "provador.example",
   "path_prefix": "/reservations/", "route_kind": "non_idempotent",
   "timeout_ms": 2000, "target_latency_ms": 300, "priority": 2,
   "service": "counter", "max_attempts": 1, "public": false},
  {"name": "catalogue", "hostname": "provador.example",
   "path_prefix": "/catalogue/", "route_kind": "idempotent",
   "timeout_ms": 2000, "target_latency_ms": 300, "priority": 2,
   "service": "counter", "max_attempts": 2, "public": false}],
 "services": [{"name": "counter", "health_path": "/healthz",
  "max_connections": 100}],
 "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
  "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
 "tenants": [{"name": "optica-sol", "api_keys": ["demo-key"], "priority": 1,
  "unit": "tokens", "plain_tokens": 200, "rate_per_s": 77198, "burst": 77198}]}
JSON
  put config "$dir/configuration.json"
}
start_runner() {  # ID PORT [OPTION ...]
  "$stand_ins/repeating_runner" --listen "127.0.0.1:$2" --id "$1" --service counter \
    --store "$store" --record "$ran" "${@:3}" >"$dir/$1.log" 2>&1 &
  pids+=($!)
}
# Starts a sound runner, one with the given options, and two hosts.
start_deployment() {  # [OPTION ...]
  local i
  start_store
  configure
  start_runner sound $((base + 1))
  start_runner faulty $((base + 2)) "$@"
  for i in 1 2; do start_host "$i" true; done
  await_ready 1 2
  until_ok 10000 grep -q lease.gained "$dir"/h*.log || fail_setup "no lease holder"
  sleep 2
}
send() {  # HOST ID PATH [OPTION ...]
  local answer
  answer=$(call --to "127.0.0.1:$(caller_port "$1")" --print "${@:4}" "$3" \
    'Host: provador.example' 'Authorization: Bearer demo-key' \
    "Request-Id: $2" 'Deadline-Ms: 4000' || true)
  note "answered $2 host=$1 $answer"
}
# Callers that each send one request after the other, more of them than the
# runners have slots.
send_all() {  # NAME PATH [OPTION ...]
  local caller callers=()
  for caller in $(seq 1 24); do
    (
      for i in $(seq 1 40); do
        send $(((caller + i) % 2 + 1)) "$1-$caller-$i" "$2" "${@:3}"
      done
    ) &
    callers+=($!)
    pids+=($!)
  done
  wait "${callers[@]}"
}
