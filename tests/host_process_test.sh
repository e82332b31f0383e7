#!/usr/bin/env bash
# Real processes against the stand-ins: the store goes away, loses answers and
# forgets its history, a runner dies, the order-giver is killed.
# Usage: host_process_test.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
dir=$(mktemp -d)
pids=()
on_exit() {
  local code=$? pid
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  [ "$code" = 0 ] || tail -n 15 "$dir"/*.log >&2
  rm -rf "$dir"
  exit "$code"
}
trap on_exit EXIT

base=${CICADALOFT_TEST_PORT:-23000}
is_free() { ! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }
ports_free() { for p in $(seq "$1" $(($1 + 40))); do is_free "$p" || return 1; done; }
while ! ports_free "$base"; do base=$((base + 100)); done
store=127.0.0.1:$base

# The bounds that the users state, in ms.
start_ms=10000     # requests come so long after the hosts' start
config_ms=2000     # an acknowledged change is in force
deadline_ms=8000   # the clients' own, with each request
recovery_ms=12000  # after a fault requests are served again

now_ms() { echo $((${EPOCHREALTIME/[.,]/} / 1000)); }
until_ok() {  # MS COMMAND ...
  local limit=$1 begun
  begun=$(now_ms)
  shift
  until "$@" >/dev/null 2>&1; do
    [ $(($(now_ms) - begun)) -lt "$limit" ] ||
      { echo "not within $limit ms: $*" >&2; return 1; }
    sleep 0.05
  done
}
put() { curl -fsS -o /dev/null --data-binary "@$2" "http://$store/admin/put?topic=keyed.op&key=$1"; }
fault() { curl -fsS -o /dev/null -X POST "http://$store/admin/fault?kind=$1&for_ms=$2"; }
start_runner() {  # NAME PORT SERVICE [OPTION ...]
  "$build/tests/fake_runner" --listen "127.0.0.1:$2" --id "$1" --service "$3" \
    --zone a --store "$store" "${@:4}" >"$dir/$1.log" 2>&1 &
  pids+=($!)
}
start_host() {  # NAME PORT FIRST
  cat >"$dir/$1.json" <<JSON
{"host": "$1", "data_centre": "a", "listen": "127.0.0.1:$2",
 "ready_listen": "127.0.0.1:$(($2 + 1))", "admin_listen": "127.0.0.1:$(($2 + 2))",
 "peer_listen": "127.0.0.1:$(($2 + 3))", "store": "$store", "first_start": $3}
JSON
  "$build/host/cicadaloft-host" --settings "$dir/$1.json" >>"$dir/$1.log" 2>&1 &
  pids+=($!)
  eval "pid_$1=$!"
}
ask() {  # PORT PATH ID [OPTION ...]
  curl -sS --fail --max-time $((deadline_ms / 1000)) -H 'Host: provador.example' -X POST -d x \
    -H 'Authorization: Bearer demo-key' -H "Request-Id: $3" \
    -H "Deadline-Ms: $deadline_ms" "${@:4}" "http://127.0.0.1:$1$2"
}
check() { echo "- $*"; }

"$build/tests/fake_store" --listen "$store" >"$dir/store.log" 2>&1 &
pids+=($!)
until_ok $start_ms curl -fs "http://$store/log-newest?topic=keyed.op&part=0"
start_runner engine $((base + 1)) engines --models frames-base \
  --disk frames-base,frames-small,frames-natal
start_runner counter $((base + 2)) counter
start_host h1 $((base + 10)) true
start_host h2 $((base + 15)) true

check "without a configuration a host is not ready and refuses with 503"
until_ok $start_ms curl -s "http://127.0.0.1:$((base + 11))/readyz"
[ "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$((base + 11))/readyz")" = 503 ]
put config tests/stand_ins/configuration.json
until_ok $config_ms curl -fs "http://127.0.0.1:$((base + 11))/readyz"
until_ok $config_ms curl -fs "http://127.0.0.1:$((base + 16))/readyz"

check "broken registry entries and configurations harm nothing"
printf 'junk' >"$dir/junk"
put config "$dir/junk"
curl -fsS -o /dev/null --data-binary @"$dir/junk" "http://$store/admin/put?topic=keyed.servers&key=stranger"
until_ok $config_ms ask $((base + 10)) /reservations/a first
until_ok $config_ms grep -q store.record_refused "$dir/h1.log"

check "a cold model is loaded and streamed"
until_ok $deadline_ms ask $((base + 10)) /chat/x cold-1 -H 'Model: frames-natal' -H 'Token-Counts: 10,10'

check "the store is down: requests go on"
# Longer than a read waits for news, so that each host meets the outage.
fault down 4000
ask $((base + 10)) /reservations/a during-outage >/dev/null
ask $((base + 15)) /chat/x during-outage-2 -H 'Model: frames-natal' -H 'Token-Counts: 1,1' >/dev/null
until_ok $recovery_ms grep -q store.lost "$dir/h1.log"
back_twice() { [ "$(grep -c '"event":"store.regained"' "$dir/h1.log")" -ge 2 ]; }
until_ok $recovery_ms back_twice

check "the history is forgotten: a change still comes"
curl -fsS -o /dev/null -X POST "http://$store/admin/trim?topic=keyed.op"
sed 's/"version": 1/"version": 5/; s/demo-key/other-key/' \
  tests/stand_ins/configuration.json >"$dir/next.json"
put config "$dir/next.json"
until_ok $config_ms grep -q '"version":"5"' "$dir/h1.log"
[ "$(curl -s -o /dev/null -w '%{http_code}' -H 'Host: provador.example' -H 'Request-Id: k' \
  -H 'Authorization: Bearer demo-key' "http://127.0.0.1:$((base + 10))/reservations/a")" = 401 ]
sed 's/"version": 1/"version": 6/' tests/stand_ins/configuration.json >"$dir/next.json"
put config "$dir/next.json"
until_ok $config_ms ask $((base + 10)) /reservations/a back-again

check "the order-giver is killed: the other host takes over"
giver=h1
grep -q lease.gained "$dir/h2.log" && giver=h2
other=$([ $giver = h1 ] && echo h2 || echo h1)
other_port=$([ $other = h1 ] && echo $((base + 10)) || echo $((base + 15)))
kill -KILL "$(eval echo "\$pid_$giver")"
ask "$other_port" /reservations/a after-kill >/dev/null
until_ok $recovery_ms grep -q lease.gained "$dir/$other.log"
until_ok $recovery_ms ask "$other_port" /chat/x cold-2 -H 'Model: frames-small' -H 'Token-Counts: 10,10'

check "a runner dies: a request that is not repeatable is not sent again"
curl -s -o /dev/null -X POST "http://127.0.0.1:$((base + 2))/admin/crash" || true
status=$(curl -s -o /dev/null -w '%{http_code}' --max-time 8 -X POST -d x -H 'Host: provador.example' \
  -H 'Authorization: Bearer demo-key' -H 'Request-Id: late' -H 'Deadline-Ms: 4000' \
  "http://127.0.0.1:$other_port/reservations/a")
[ "$status" = 503 ] || [ "$status" = 502 ]

check "a planned stop ends with 0, whatever signals follow"
pid=$(eval echo "\$pid_$other")
kill -TERM "$pid"
until_ok $config_ms grep -q "stop requested" "$dir/$other.log"
kill -HUP "$pid"
kill -TERM "$pid"
ask "$other_port" /chat/x during-stop -H 'Model: frames-small' -H 'Token-Counts: 10,10' >/dev/null
wait "$pid"
grep -q "stopped: all requests answered" "$dir/$other.log"
echo "all checks passed"
