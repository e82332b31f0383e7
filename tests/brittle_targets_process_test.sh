#!/usr/bin/env bash
# Guards against hosts that together send brittle targets so much beyond their
# room that they crash, and against requests that are repeated or fail because a
# sound target was silent for a second.
# Usage: brittle_targets_process_test.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
. tests/process_functions.sh

rejections=6   # a second, above which a runner crashes
runners=8
max_crashes=$((2 + runners / 10))
notice_ms=3000  # from the first header until the bounds of the runners hold
judged_ms=12000
wrong=0
fail() { echo "FAILED: $*" >&2; wrong=$((wrong + 1)); }
"$build/tests/fake_store" --listen "$store" >"$dir/store.log" 2>&1 &
pids+=($!)
until_ok $start_ms curl -fs "http://$store/log-newest?topic=keyed.op&part=0"
sed 's/"rate_per_s": 100000/"rate_per_s": 100000000/' tests/stand_ins/configuration.json >"$dir/configuration.json"
put config "$dir/configuration.json"
for i in $(seq $runners); do
  start_runner "counter-$i" $((base + i)) counter --slots 4 --waiting 8 --work-ms 150 \
    --runs "$dir/counter-$i.runs"
  eval "pid_counter_$i=${pids[-1]}"
done
port_of() { echo $((base + 10 + 5 * ${1#h})); }
hosts=(h1 h2 h3 h4 h5 h6)
for host in "${hosts[@]}"; do start_host "$host" "$(port_of "$host")" true; done
for host in "${hosts[@]}"; do
  until_ok $start_ms curl -fs "http://127.0.0.1:$(($(port_of "$host") + 1))/readyz"
  until_ok $start_ms send_request "$(port_of "$host")" /reservations/a "first-$host"
done
call() {  # NAME CALLERS_A_HOST MS PAUSE_MS
  local host
  for host in "${hosts[@]}"; do
    "$build/tests/kept_callers" --to "127.0.0.1:$(port_of "$host")" --callers "$2" --ms "$3" \
      --pause-ms "$4" --id-prefix "$1-$host-" --log "$dir/$1.calls" >/dev/null 2>&1 &
    pids+=($!)
    callers+=($!)
  done
}
steady_ms() { local up; read -r up _ </proc/uptime; echo $((${up/./} * 10)); }
runs_between() { cat "$dir"/*.runs | awk -v from="$1" -v to="$2" '$1 >= from && $1 < to' | wc -l; }
crashes_between() { cat "$dir"/counter-*.log | awk -v from="$1" -v to="$2" '$1 == "crash" && $2 >= from && $2 < to' | wc -l; }
announce() {  # MS
  local i
  for i in $(seq $runners); do
    curl -fsS -o /dev/null -X POST "http://127.0.0.1:$((base + i))/admin/brittle?n=$rejections&waiting=1&for_ms=$1"
  done
}
# Judges the time from now on against the runs a second of before.
judge() {  # NAME RUNS_BEFORE
  local from count runs
  from=$(steady_ms)
  sleep $((judged_ms / 1000))
  runs=$((1000 * $(runs_between "$from" $((from + judged_ms))) / judged_ms))
  count=$(crashes_between "$from" $((from + judged_ms)))
  echo "  $1: $count crashes in $judged_ms ms, $runs runs a second, $2 before"
  [ $count -le $max_crashes ] || fail "$1: $count crashes, $max_crashes are allowed"
  [ $((2 * runs)) -ge "$2" ] || fail "$1: $runs runs a second, $2 before"
}

check "more callers than room: runners say that they are brittle"
callers=()
call crowd 50 60000 500
sleep 3
from=$(steady_ms)
sleep 4
before=$((1000 * $(runs_between "$from" $((from + 4000))) / 4000))
announce 40000
sleep $((notice_ms / 1000))
judge "all hosts running" "$before"

check "half of the hosts have just started"
for host in h4 h5 h6; do
  eval "kill -KILL \$pid_$host"
  eval "wait \$pid_$host" 2>/dev/null || true
  start_host "$host" "$(port_of "$host")" false
done
judge "half of the hosts just started" "$before"
for pid in "${callers[@]}"; do kill "$pid" 2>/dev/null || true; wait "$pid" 2>/dev/null || true; done

check "a sound runner is silent for a second"
sleep 6  # So that the runners have their room again.
for host in "${hosts[@]}"; do
  until_ok $recovery_ms send_request "$(port_of "$host")" /reservations/a "again-$host"
done
# Until the runners are no longer brittle and hosts have forgotten that they were.
sleep 14
callers=()
call silent 2 5000 200
sleep 2
kill -STOP "$pid_counter_1"
sleep 1
kill -CONT "$pid_counter_1"
for pid in "${callers[@]}"; do wait "$pid"; done
echo "  $(cut -d' ' -f3 "$dir/silent.calls" | sort | uniq -c | paste -sd' ')"
failed=$(awk '$3 != 200' "$dir/silent.calls" | wc -l)
[ "$failed" = 0 ] || fail "$failed requests failed while a sound runner was silent"
twice=$(cat "$dir"/*.runs | cut -d' ' -f2 | sort | uniq -d | wc -l)
[ "$twice" = 0 ] || fail "$twice requests ran twice"

[ $wrong = 0 ] || { echo "$wrong checks failed" >&2; exit 1; }
echo "all checks passed"
