#!/usr/bin/env bash
# Usage reports of real host processes under callers, while the lease holder is
# killed and frozen between its calls: each window has one content, tokens never
# go back, and holders never alternate within 3 s.
# Usage: usage_process_test.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
. tests/process_functions.sh

platform=127.0.0.1:$((base + 3))
"$build/tests/fake_store" --listen "$store" >"$dir/store.log" 2>&1 &
pids+=($!)
"$build/tests/fake_platform" --listen "$platform" >"$dir/platform.log" 2>&1 &
pids+=($!)
until_ok $start_ms curl -fs "http://$store/log-newest?topic=keyed.op&part=0"
until_ok $start_ms curl -fs "http://$platform/state"
start_runner counter $((base + 2)) counter
start_duty_host() {  # NAME PORT FIRST
  cat >"$dir/$1.json" <<JSON
{"host": "$1", "data_centre": "a", "listen": "127.0.0.1:$2",
 "ready_listen": "127.0.0.1:$(($2 + 1))", "admin_listen": "127.0.0.1:$(($2 + 2))",
 "peer_listen": "127.0.0.1:$(($2 + 3))", "store": "$store", "first_start": $3,
 "duties": {"address": "$platform", "names": ["usage"], "calls_per_second": 50,
            "usage_window": "2s", "usage_delay": "5s"}}
JSON
  "$build/host/cicadaloft-host" --settings "$dir/$1.json" >>"$dir/$1.log" 2>&1 &
  pids+=($!)
  eval "pid_$1=$!"
}
ports=($((base + 10)) $((base + 15)) $((base + 20)) $((base + 25)))
for i in 0 1 2 3; do start_duty_host "h$i" "${ports[$i]}" true; done
sed 's/"rate_per_s": 100000/"rate_per_s": 100000000/' tests/stand_ins/configuration.json >"$dir/first.json"
put config "$dir/first.json"
for i in 0 1 2 3; do
  until_ok $start_ms curl -fs "http://127.0.0.1:$((${ports[$i]} + 1))/readyz"
done
until_ok $start_ms send_request "${ports[0]}" /reservations/a first

state() { curl -fsS "http://$platform/state"; }
report_count() { state | jq '.windows | length'; }
# Prints the host that has gained the lease last.
holder_by_log() {
  local best='' best_token=-1 i token
  for i in 0 1 2 3; do
    token=$(grep -o '"event":"lease.gained".*"token":"\?[0-9]*' "$dir/h$i.log" | grep -o '[0-9]*$' | tail -1 || true)
    if [ -n "$token" ] && [ "$token" -gt "$best_token" ]; then best=h$i best_token=$token; fi
  done
  echo "$best"
}
expect_rules() {
  state | jq -e '.violations == []' >/dev/null || { state >&2; return 1; }
}
has_more_reports_than() { [ "$(report_count)" -gt "$1" ]; }

"$build/tests/kept_callers" --to "127.0.0.1:${ports[0]},127.0.0.1:${ports[1]},127.0.0.1:${ports[2]},127.0.0.1:${ports[3]}" \
  --callers 12 --ms 60000 --pause-ms 20 >"$dir/callers.json" 2>"$dir/callers.err" &
pids+=($!)

check "windows are reported with the counts of all hosts"
until_ok 15000 has_more_reports_than 2
state | jq -e '[.windows[] | add // 0] | max > 50' >/dev/null || { state >&2; exit 1; }
expect_rules

check "the holder is killed after a report, and frozen after another"
first=$(holder_by_log)
count=$(report_count)
until_ok 10000 has_more_reports_than "$count"
eval "kill -KILL \$pid_$first"
sleep 1
start_duty_host "$first" "${ports[${first#h}]}" false
count=$(report_count)
until_ok 15000 has_more_reports_than $((count + 1))
expect_rules

second=$(holder_by_log)
count=$(report_count)
until_ok 10000 has_more_reports_than "$count"
eval "kill -STOP \$pid_$second"
sleep 8
eval "kill -CONT \$pid_$second"
count=$(report_count)
until_ok 15000 has_more_reports_than $((count + 1))
expect_rules

check "the platform is busy, then silent"
curl -fsS -o /dev/null -X POST "http://$platform/admin/fault?kind=busy&for_ms=4000"
sleep 4
curl -fsS -o /dev/null -X POST "http://$platform/admin/fault?kind=silent&for_ms=3000"
sleep 3
count=$(report_count)
until_ok 10000 has_more_reports_than "$count"
expect_rules
state | jq -c '{windows: (.windows | length), calls, duplicates, violations}'
echo "all checks passed"
