#!/usr/bin/env bash
# Runs two host processes against the fake store and fake runners: malformed
# records, an outage of the store, a trimmed history, a killed lease holder, a
# crashed runner and a planned stop.
# Usage: host_process_test.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
. tests/process_functions.sh

"$build/tests/fake_store" --listen "$store" >"$dir/store.log" 2>&1 &
pids+=($!)
until_ok $start_ms curl -fs "http://$store/log-newest?topic=keyed.op&part=0"
start_runner engine $((base + 1)) engines --models frames-base \
  --disk frames-base,frames-small,frames-natal
start_runner counter $((base + 2)) counter
start_host h1 $((base + 10)) true
start_host h2 $((base + 15)) true

check "without a configuration a host is not ready and answers 503"
until_ok $start_ms curl -s "http://127.0.0.1:$((base + 11))/readyz"
[ "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$((base + 11))/readyz")" = 503 ]
put config tests/stand_ins/configuration.json
until_ok $config_ms curl -fs "http://127.0.0.1:$((base + 11))/readyz"
until_ok $config_ms curl -fs "http://127.0.0.1:$((base + 16))/readyz"

check "malformed registry records and configurations have no effect"
printf 'junk' >"$dir/junk"
put config "$dir/junk"
curl -fsS -o /dev/null --data-binary @"$dir/junk" "http://$store/admin/put?topic=keyed.servers&key=stranger"
until_ok $config_ms send_request $((base + 10)) /reservations/a first
until_ok $config_ms grep -q store.record_refused "$dir/h1.log"

check "a request for a cold model: the model is loaded, the response streamed"
until_ok $deadline_ms send_request $((base + 10)) /chat/x cold-1 -H 'Model: frames-natal' -H 'Token-Counts: 10,10'

check "one odd registry record does no harm"
nested() { printf '[%.0s' $(seq 1 "$1"); printf ']%.0s' $(seq 1 "$1"); }
{ printf '{"service":"engines","address":"127.0.0.1:1","zone":"a","state":"ready","models":'
  nested 200000; printf '}'; } >"$dir/nested"
curl -fsS -o /dev/null --data-binary @"$dir/nested" "http://$store/admin/put?topic=keyed.servers&key=odd-1"
until_ok $config_ms grep -q 'target odd-1' "$dir/h1.log"
send_request $((base + 10)) /reservations/a after-odd >/dev/null

check "a runner that leaves or rests gets no requests from a host that it told so"
start_runner counter2 $((base + 3)) counter
until_ok $config_ms grep -q '"target":"counter2"' "$dir/h1.log"
until_ok $config_ms grep -q '"target":"counter2"' "$dir/h2.log"
runner_at() { curl -fsS "http://127.0.0.1:$1$2" "${@:3}"; }
count_ids() { runner_at "$1" "$2" | jq length; }
runner_at $((base + 2)) "/admin/rest?seconds=2" -X POST -o /dev/null
for i in $(seq 1 12); do
  send_request $((base + 10)) /reservations/a "rest-$i" >/dev/null
done
[ "$(count_ids $((base + 2)) /turned_away)" -le 2 ]
sleep 2
runner_at $((base + 2)) /admin/leaving -X POST -o /dev/null
for i in $(seq 1 12); do
  send_request $((base + 10)) /reservations/a "leave-$i" >/dev/null
done
until_ok $config_ms grep -q fleet.draining "$dir/h2.log"
seen=$(count_ids $((base + 2)) /seen)
for i in $(seq 1 12); do
  send_request $((base + 10)) /reservations/a "left-$i" >/dev/null
  send_request $((base + 15)) /reservations/a "gone-$i" >/dev/null
done
[ "$(count_ids $((base + 2)) /seen)" = "$seen" ]

check "the store is down: requests are still served"
# Longer than the timeout of a long poll, so that each host sees the outage.
fault down 4000
send_request $((base + 10)) /reservations/a during-outage >/dev/null
send_request $((base + 15)) /chat/x during-outage-2 -H 'Model: frames-natal' -H 'Token-Counts: 1,1' >/dev/null
until_ok $recovery_ms grep -q store.lost "$dir/h1.log"
regained_twice() { [ "$(grep -c '"event":"store.regained"' "$dir/h1.log")" -ge 2 ]; }
until_ok $recovery_ms regained_twice

check "the history is trimmed: a configuration change is still adopted"
curl -fsS -o /dev/null -X POST "http://$store/admin/trim?topic=keyed.op"
sed 's/"version": 1/"version": 5/; s/demo-key/other-key/' \
  tests/stand_ins/configuration.json >"$dir/next.json"
put config "$dir/next.json"
until_ok $config_ms grep -q '"version":"5"' "$dir/h1.log"
[ "$(curl -s -o /dev/null -w '%{http_code}' -H 'Host: provador.example' -H 'Request-Id: k' \
  -H 'Authorization: Bearer demo-key' "http://127.0.0.1:$((base + 10))/reservations/a")" = 401 ]

check "a withdrawn key is refused after a restart as well"
kill -KILL "$pid_h1"
start_host h1 $((base + 10)) false
status_of_withdrawn_key() {
  curl -s -o /dev/null -w '%{http_code}' --max-time 2 -X POST -d x -H 'Host: provador.example' \
    -H 'Authorization: Bearer demo-key' -H 'Request-Id: w' "http://127.0.0.1:$((base + 10))/reservations/a"
}
is_refused() {
  status=$(status_of_withdrawn_key)
  [ "$status" != 200 ] || { touch "$dir/accepted"; return 1; }
  [ "$status" = 401 ]
}
until_ok $start_ms is_refused
[ ! -e "$dir/accepted" ]

sed 's/"version": 1/"version": 6/' tests/stand_ins/configuration.json >"$dir/next.json"
put config "$dir/next.json"
until_ok $config_ms send_request $((base + 10)) /reservations/a back-again

check "the lease holder is killed: the other host takes over"
holder=h1
grep -q lease.gained "$dir/h2.log" && holder=h2
other=$([ $holder = h1 ] && echo h2 || echo h1)
other_port=$([ $other = h1 ] && echo $((base + 10)) || echo $((base + 15)))
kill -KILL "$(eval echo "\$pid_$holder")"
send_request "$other_port" /reservations/a after-kill >/dev/null
until_ok $recovery_ms grep -q lease.gained "$dir/$other.log"
until_ok $recovery_ms send_request "$other_port" /chat/x cold-2 -H 'Model: frames-small' -H 'Token-Counts: 10,10'

check "the runners crash: a non-idempotent request fails with 502 or 503"
for port in $((base + 2)) $((base + 3)); do
  curl -s -o /dev/null -X POST "http://127.0.0.1:$port/admin/crash" || true
done
status=$(curl -s -o /dev/null -w '%{http_code}' --max-time 8 -X POST -d x -H 'Host: provador.example' \
  -H 'Authorization: Bearer demo-key' -H 'Request-Id: late' -H 'Deadline-Ms: 4000' \
  "http://127.0.0.1:$other_port/reservations/a")
[ "$status" = 503 ] || [ "$status" = 502 ]

check "a planned stop exits with 0, even if further signals arrive"
pid=$(eval echo "\$pid_$other")
kill -TERM "$pid"
until_ok $config_ms grep -q "stop requested" "$dir/$other.log"
kill -HUP "$pid"
kill -TERM "$pid"
send_request "$other_port" /chat/x during-stop -H 'Model: frames-small' -H 'Token-Counts: 10,10' >/dev/null
wait "$pid"
grep -q "stopped: all requests answered" "$dir/$other.log"
echo "all checks passed"
