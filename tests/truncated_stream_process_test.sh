#!/usr/bin/env bash
# Guards against a stream that reaches its caller as complete though it has broken
# off: a host process ends while streams of every framing run to HTTP/1.1 and
# HTTP/1.0 callers. What a caller takes for complete is what curl does.
# Usage: truncated_stream_process_test.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
ulimit -c 0
build=$1
. tests/process_functions.sh

"$build/tests/fake_store" --listen "$store" >"$dir/store.log" 2>&1 &
pids+=($!)
until_ok $start_ms curl -fs "http://$store/log-newest?topic=keyed.op&part=0"
start_runner chunked $((base + 1)) engines --models frames-base --event-ms 100 --event-tokens 1
start_runner closing $((base + 2)) engines --models frames-small --event-ms 100 --event-tokens 1 \
  --until-close
put config tests/stand_ins/configuration.json

events=12
port=$((base + 10))
own=$((base + 15))
broken=0
start() {  # STOP_TIME
  start_host host $port true "\"own_listen\": \"127.0.0.1:$own\", \"stop_time\": \"$1\","
  until_ok $start_ms curl -fs "http://127.0.0.1:$((port + 1))/readyz"
  until_ok $start_ms send_request $port /chat/a "ready-$RANDOM" -H 'Model: frames-base' -H 'Token-Counts: 1,1'
  until_ok $start_ms send_request $port /chat/a "ready-$RANDOM" -H 'Model: frames-small' -H 'Token-Counts: 1,1'
}
count_events() { grep -c '^id: ' "$dir/$1.body" || true; }
has_begun() { [ "$(count_events "$1")" -ge 4 ]; }
framings="1.1-frames-base 1.0-frames-base 1.1-frames-small 1.0-frames-small"
start_streams() {  # NAME
  local framing
  for framing in $framings; do
    : >"$dir/$1-$framing.body"
    send_request $port /chat/a "$1-$framing" -N "--http${framing%%-*}" \
      -H "Model: ${framing#*-}" -H "Token-Counts: 1,$events" \
      >"$dir/$1-$framing.body" 2>"$dir/$1-$framing.err" &
    eval "stream_${framing//[.-]/_}=$!"
  done
  for framing in $framings; do until_ok $start_ms has_begun "$1-$framing"; done
}
# Each stream has all its events, or its caller can tell that it has broken off.
expect_no_false_end() {  # NAME WHOLE
  local framing code count
  for framing in $framings; do
    code=0
    wait "$(eval echo "\$stream_${framing//[.-]/_}")" || code=$?
    count=$(count_events "$1-$framing")
    echo "  $1 http/$framing: $count events, curl $code"
    if [ "$2" = yes ]; then
      [ "$code" = 0 ] && [ "$count" = $events ] || broken=$((broken + 1))
    else
      # 18: the body is incomplete; 52 and 56: the connection was reset.
      case $code in 18 | 52 | 56) ;; *) broken=$((broken + 1)) ;; esac
    fi
  done
}
play() {  # NAME WHOLE STOP_TIME SIGNAL ...; a number pauses for so many seconds
  local signal
  check "$1"
  start "$3"
  start_streams "$1"
  for signal in "${@:4}"; do
    case $signal in
      [0-9]*) sleep "$signal" ;;
      *) kill "-$signal" "$pid_host" ;;
    esac
  done
  expect_no_false_end "$1" "$2"
  kill -KILL "$pid_host" 2>/dev/null || true
  wait "$pid_host" 2>/dev/null || true
}
for signal in KILL ABRT SEGV BUS; do play "$signal" no 8s "$signal"; done
play stopped-and-killed no 8s STOP 0.2 KILL
play killed-while-stopping no 8s TERM 0.2 KILL
for signal in TERM INT; do
  play "$signal-outlasts" no 800ms "$signal"
  play "$signal-in-time" yes 8s "$signal"
done
[ $broken = 0 ] || { echo "$broken streams ended wrongly" >&2; exit 1; }
echo "all checks passed"
