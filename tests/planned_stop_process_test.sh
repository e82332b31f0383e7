#!/usr/bin/env bash
# Planned stops, reloads and configuration changes of real host processes under
# callers that use open connections until the process is gone: no request that
# was wholly sent 0.2 s before its connection ended stays without an answer.
# Usage: planned_stop_process_test.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
. tests/process_functions.sh

"$build/tests/fake_store" --listen "$store" >"$dir/store.log" 2>&1 &
pids+=($!)
until_ok $start_ms curl -fs "http://$store/log-newest?topic=keyed.op&part=0"
start_runner engine $((base + 1)) engines --models frames-base --event-ms 60
start_runner counter $((base + 2)) counter
h1=$((base + 10))
h2=$((base + 15))
start_host h1 $h1 true
start_host h2 $h2 true
sed 's/"rate_per_s": 100000/"rate_per_s": 100000000/' tests/stand_ins/configuration.json >"$dir/first.json"
put config "$dir/first.json"
until_ok $start_ms curl -fs "http://127.0.0.1:$((h1 + 1))/readyz"
until_ok $start_ms curl -fs "http://127.0.0.1:$((h2 + 1))/readyz"
until_ok $start_ms send_request $h1 /reservations/a first
until_ok $start_ms send_request $h2 /chat/a second -H 'Model: frames-base' -H 'Token-Counts: 10,10'

start_callers() {  # NAME OPTION ...
  "$build/tests/kept_callers" "${@:2}" >"$dir/$1.json" 2>"$dir/$1.err" &
  pids+=($!)
  eval "pid_$1=$!"
}
# Guards against requests that a host leaves without an answer: "broken" is a
# part of an answer, "lost" none within 0.2 s of the request's last byte. A
# request may cross the close of its connection, but rarely.
expect_none_lost() {  # NAME
  wait "$(eval echo "\$pid_$1")"
  echo "  $1: $(cat "$dir/$1.json")"
  jq -e '(.["200"] > 0) and ([.lost, .broken, .silent] | add // 0) == 0 and (.crossed // 0) <= 3' "$dir/$1.json" >/dev/null
}
expect_stopped() {  # HOST
  wait "$(eval echo "\$pid_$1")"
  grep -q 'stopped: all requests answered' "$dir/$1.log"
  grep 'host.listeners_closed' "$dir/$1.log"
}

check "reloads and new configurations, under callers on open connections"
start_callers reload --to 127.0.0.1:$h1,127.0.0.1:$h2 --callers 20 --ms 3000
start_callers reload_streams --to 127.0.0.1:$h1 --callers 10 --ms 3000 --path /chat/a --model frames-base
sleep 0.5
for version in 2 3 4; do
  sed "s/\"version\": 1/\"version\": $version/; s/\"timeout_ms\": 2000/\"timeout_ms\": 1${version}00/" \
    "$dir/first.json" >"$dir/next.json"
  put config "$dir/next.json"
  kill -HUP "$pid_h1" "$pid_h2"
  sleep 0.5
done
expect_none_lost reload
expect_none_lost reload_streams

check "two planned stops that overlap, under callers on open connections"
start_callers plain --to 127.0.0.1:$h1,127.0.0.1:$h2 --callers 40 --ms 7000
start_callers eager --to 127.0.0.1:$h1,127.0.0.1:$h2 --callers 40 --ms 7000 --pause-ms 300 --eager
start_callers streams --to 127.0.0.1:$h1,127.0.0.1:$h2 --callers 20 --ms 7000 --path /chat/a --model frames-base
sleep 0.5
kill -TERM "$pid_h1"
sleep 1
kill -TERM "$pid_h2"
expect_stopped h1
expect_stopped h2
expect_none_lost plain
expect_none_lost eager
expect_none_lost streams
echo "all checks passed"
