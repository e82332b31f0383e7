# For the scripts whose runners a prompt part crashes; sourced after
# functions.sh.
need "$stand_ins/runners"
host_count=4
runner_count=12
part=deadbe01
reached=$dir/reached.txt
: >"$reached"

configure() {
  cat >"$dir/configuration.json" <<'JSON'
{"version": 1,
 "routes": [
  {"name": "chat", "hostname": "provador.example", "path_prefix": "/chat/",
   "route_kind": "streaming", "timeout_ms": 10000, "target_latency_ms": 250,
   "priority": 1, "service": "engines", "max_attempts": 1, "gap_aim_ms": 200,
   "sticky": true, "resumable": false, "public": false}],
 "services": [
  {"name": "engines", "health_path": "/healthz", "max_connections": 360,
   "engine": {"slots": 8, "kv_capacity": 114027, "weights_mb": 1000,
    "adapter_slots": 8, "loads_per_s": 3.1,
    "models": [
     {"name": "frames-base", "weights_mb": 300, "load_time_s": 0.3,
      "adapters": 2, "adapter_size_mb": 10, "warmup_s": 0.3, "disk_s": 0.3},
     {"name": "frames-small", "weights_mb": 300, "load_time_s": 0.3,
      "adapters": 2, "adapter_size_mb": 10, "warmup_s": 0.3, "disk_s": 0.3}]}}],
 "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
  "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
 "tenants": [{"name": "optica-sol", "api_keys": ["demo-key"], "priority": 1,
  "unit": "tokens", "plain_tokens": 200, "rate_per_s": 77198, "burst": 77198}]}
JSON
  put config "$dir/configuration.json"
}
start_deployment() {
  local i
  start_store
  configure
  "$stand_ins/runners" --first-port $((base + 1)) --count $runner_count \
    --service engines --store "$store" --record "$reached" \
    --models frames-base,frames-small \
    --deadly-part "$deadly" >"$dir/runners.log" 2>&1 &
  pids+=($!)
  until_ok 5000 is_registered || fail_setup "the runners have not registered"
  for i in $(seq 1 $host_count); do start_host "$i" true; done
  await_ready $(seq 1 $host_count)
  until_ok 10000 grep -q lease.gained "$dir"/h*.log || fail_setup "no lease holder"
  sleep 5
}
is_registered() {
  [ "$(call --to "$store" --print "/log-newest?topic=keyed.servers&part=0" |
    grep -o '"key":"runner-' | wc -l)" = $runner_count ]
}
send() {  # HOST ID MODEL PROMPT_TOKENS PREFIX
  local answer
  answer=$(call --to "127.0.0.1:$(caller_port "$1")" --post --body "prompt of $2" \
    /chat/x 'Host: provador.example' 'Authorization: Bearer demo-key' \
    "Request-Id: $2" "Model: $3" "Token-Counts: $4,60" "Prompt-Prefix: $5" \
    'Deadline-Ms: 4000' || true)
  note "answered $2 host=$1 $answer"
}
# Sound requests share the caller and the first part with the deadly ones.
sound_requests() {
  local i=0
  until [ -e "$dir/stop" ]; do
    i=$((i + 1))
    send $((i % host_count + 1)) "sound-$i" frames-base 120 "5c1e07a2:80,$(printf '%08x' $((100 + i))):40" &
    sleep 1
  done
  wait
}
# Two requests with the part a second, no two alike, at all hosts in turn.
wave_pids=()
wave() {  # NAME COUNT MODEL
  local i
  for i in $(seq 1 "$2"); do
    note "sent deadly-$1-$i host=$((i % host_count + 1)) model=$3"
    send $((i % host_count + 1)) "deadly-$1-$i" "$3" 180 \
      "5c1e07a2:80,$part:60,$(printf '%08x' $((RANDOM + 100000 * i))):40" &
    wave_pids+=($!)
    sleep 0.5
  done
}
# BUDGET: more than three requests with the part reach runners later than
# stability_window_ms (3 s) after the fifth crash.
judge() {
  local fifth late
  touch "$dir/stop"
  wait "$sound_pid" "${wave_pids[@]}"
  cat "$reached" >>"$record"
  grep -h '"poison\|entry.poison\|poison\.' "$dir"/h*.log >>"$record" || true
  fifth=$(awk '$2 == "crashed"' "$reached" | sed -n 5p | cut -d' ' -f1)
  late=0
  if [ -n "$fifth" ]; then
    late=$(awk -v from=$((fifth + 3000)) '$2 == "reached" && $NF == "deadly" && $1 > from' "$reached" | wc -l)
  fi
  note "crashes: $(grep -c ' crashed ' "$reached" || true); requests with the part that reached runners later than 3 s after the fifth: $late"
  tail -n 1 "$record"
  [ "$late" -le 3 ]
}
