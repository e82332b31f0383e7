#!/usr/bin/env bash
# Guards against streams that are joined from two software versions of a service:
# streams break off while runners of two versions serve, and callers take them up
# again at other hosts, or at hosts that have just started.
# Usage: software_versions_process_test.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
. tests/process_functions.sh

streams=12
events=12
wrong=0
"$build/tests/fake_store" --listen "$store" >"$dir/store.log" 2>&1 &
pids+=($!)
until_ok $start_ms curl -fs "http://$store/log-newest?topic=keyed.op&part=0"
jq '.routes |= map(if .name == "chat" then .resumable = true | .max_attempts = 2 else . end)' \
  tests/stand_ins/configuration.json >"$dir/configuration.json"
put config "$dir/configuration.json"
start_engine() {  # NUMBER SOFTWARE
  start_runner "engine-$1" $((base + $1)) engines --models frames-base --event-ms 100 \
    --event-tokens 1 --software "$2"
  eval "pid_engine_$1=${pids[-1]}"
}
start_engine 1 v1
start_engine 2 v1
start_engine 3 v2
start_engine 4 v2
port_of() { echo $((base + 10 + 5 * $1)); }
start_hosts() {
  local i
  for i in "$@"; do start_host "h$i" "$(port_of "$i")" true; done
  for i in "$@"; do
    until_ok $start_ms curl -fs "http://127.0.0.1:$(($(port_of "$i") + 1))/readyz"
    until_ok $start_ms send_request "$(port_of "$i")" /chat/a "ready-$RANDOM" \
      -H 'Model: frames-base' -H 'Token-Counts: 1,1'
  done
}
end_hosts() {
  local i
  for i in "$@"; do
    kill -KILL "$(eval echo "\$pid_h$i")" 2>/dev/null || true
    wait "$(eval echo "\$pid_h$i")" 2>/dev/null || true
  done
}
count_events() { grep -c '^id: ' "$dir/$1.body" || true; }
has_begun() { [ "$(count_events "$1")" -ge 3 ]; }
# Starts a stream in the background. A number of a host, a name and options of curl.
stream() {
  curl -sS -N --fail --max-time $((deadline_ms / 1000)) -H 'Host: provador.example' -X POST -d x \
    -H 'Authorization: Bearer demo-key' -H "Request-Id: $2" -H "Deadline-Ms: $deadline_ms" \
    -H 'Model: frames-base' -H "Token-Counts: 1,$events" "${@:3}" \
    "http://127.0.0.1:$(port_of "$1")/chat/a" >"$dir/$2.body" 2>"$dir/$2.err" &
  callers+=($!)
}
begin() {  # NAME HOST ...
  local i hosts=("${@:2}")
  callers=()
  for i in $(seq $streams); do
    : >"$dir/$1-$i.body"
    stream "${hosts[$((i % ${#hosts[@]}))]}" "$1-$i"
  done
  for i in $(seq $streams); do until_ok $start_ms has_begun "$1-$i"; done
}
end_callers() {
  local pid
  for pid in "${callers[@]}"; do kill -KILL "$pid" 2>/dev/null || true; wait "$pid" 2>/dev/null || true; done
}
versions_of() { cat "$@" | sed -n 's/^data: token [0-9]* \(.*\)/\1/p' | sort -u | paste -sd' '; }
# Takes all streams up again at the hosts in turn, and counts what becomes of them.
take_up() {  # NAME HOST ...
  local i hosts=("${@:2}") last code
  callers=()
  for i in $(seq $streams); do
    last=$(count_events "$1-$i")
    stream "${hosts[$((i % ${#hosts[@]}))]}" "$1-$i-again" -H "Last-Event-Id: $last" -H "Resumes: $1-$i"
  done
  joined=0 whole=0 refused=0
  for i in $(seq $streams); do
    code=0
    wait "${callers[$((i - 1))]}" || code=$?
    if [ $code = 22 ]; then
      refused=$((refused + 1))
    elif [ "$(versions_of "$dir/$1-$i.body" "$dir/$1-$i-again.body")" != "$(versions_of "$dir/$1-$i.body")" ]; then
      joined=$((joined + 1))
    elif [ $code = 0 ] && [ $(($(count_events "$1-$i") + $(count_events "$1-$i-again"))) = $events ]; then
      whole=$((whole + 1))
    fi
  done
  echo "  $1: of $streams streams $joined joined from two versions, $whole whole, $refused refused"
}
expect() {  # JOINED_AT_MOST WHOLE_AT_LEAST REFUSED_AT_MOST
  [ $joined -le "$1" ] && [ $whole -ge "$2" ] && [ $refused -le "$3" ] || wrong=$((wrong + 1))
}

start_hosts 1 2 3
check "one host is killed, and its streams are taken up at the others"
begin one 1
end_hosts 1
end_callers
take_up one 2 3
expect 0 $streams 0

check "the callers' connections are cut while the hosts live"
start_hosts 1
begin cut 1 2 3
end_callers
take_up cut 2 3 1
expect 0 $streams 0

check "all hosts are killed at once, and the streams are taken up after their start"
begin all 1 2 3
end_hosts 1 2 3
end_callers
start_hosts 1 2 3
take_up all 1 2 3
expect 0 $streams 0

check "the runners of the old version leave; what they began can't go on"
begin left 1 2 3
old=0
for i in $(seq $streams); do
  [ "$(versions_of "$dir/left-$i.body")" != v1 ] || old=$((old + 1))
done
end_callers
for i in 1 2; do
  curl -fsS -o /dev/null --data-binary '' "http://$store/admin/put?topic=keyed.servers&key=engine-$i"
done
sleep 1
take_up left 1 2 3
[ $old -gt 0 ] || { echo "no stream began at the old version" >&2; wrong=$((wrong + 1)); }
expect 0 $((streams - old)) $old

[ $wrong = 0 ] || { echo "$wrong checks failed" >&2; exit 1; }
echo "all checks passed"
