#!/usr/bin/env bash
# Starts and ends host processes in the ways in which machines do: the log names
# each end, and ordinary events in the start end no process.
# Usage: process_start_test.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
host=$1/host/cicadaloft-host
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

base=${CICADALOFT_START_TEST_PORT:-27000}
is_free() { ! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }
ports_free() { for p in $(seq "$1" $(($1 + 9))); do is_free "$p" || return 1; done; }
while ! ports_free "$base"; do base=$((base + 100)); done

wait_ms=10000  # for anything that the test waits for

now_ms() { echo $((${EPOCHREALTIME/[.,]/} / 1000)); }
until_ok() {  # COMMAND ...
  local start
  start=$(now_ms)
  until "$@" >/dev/null 2>&1; do
    [ $(($(now_ms) - start)) -lt $wait_ms ] ||
      { echo "not within $wait_ms ms: $*" >&2; return 1; }
    sleep 0.02
  done
}
write_settings() {  # FILE [MEMBER, ...]
  cat >"$1" <<JSON
{"host": "h1", "data_centre": "a", "listen": "127.0.0.1:$base",
 "ready_listen": "127.0.0.1:$((base + 1))", "admin_listen": "127.0.0.1:$((base + 2))",
 "peer_listen": "127.0.0.1:$((base + 3))", ${2-} "store": "127.0.0.1:$((base + 4))",
 "stop_time": "1200ms"}
JSON
}
start() {  # LOG FILE
  "$host" --settings "$2" >"$dir/$1.log" 2>"$dir/$1.err" &
  pid=$!
  pids+=("$pid")
}
expect_exit() {  # CODE
  local code=0
  wait "$pid" || code=$?
  [ "$code" = "$1" ] || { echo "exit code $code, expected $1" >&2; return 1; }
}
serves() { (exec 3<>"/dev/tcp/127.0.0.1/$((base + 1))") 2>/dev/null; }
logged() { grep -q "$2" "$dir/$1.log" || { echo "$1.log: no line \"$2\"" >&2; return 1; }; }
check() { echo "- $*"; }
write_settings "$dir/h1.json"

# Guards against ends of a process that its log can't tell from one another.
check "the log has the start and the reason of the end: stopped"
start stopped "$dir/h1.json"
until_ok serves
logged stopped 'process starts.*pid='
kill -TERM "$pid"
expect_exit 0
logged stopped '"component":"process".*process ends code=0 reason=stopped'

check "the log has the reason of the end: wrong settings"
write_settings "$dir/wrong.json" '"cores": -1,'
start wrong "$dir/wrong.json"
begin=$(now_ms)
expect_exit 2
[ $(($(now_ms) - begin)) -lt 3000 ]  # a whole document isn't waited for
logged wrong '"unix_ms":.*process ends code=2 reason=start_failed details=settings_invalid: .*cores'
grep -q cores "$dir/wrong.err"

# Guards against processes that a signal in their start ends, or that lose it.
# The host reads its settings from a pipe, so that it is held there.
mkfifo "$dir/pipe"
start_held() {  # LOG
  exec 3<>"$dir/pipe"
  start "$1" "$dir/pipe" 3>&-
  until_ok logged "$1" 'process starts'
  sleep 0.1
}
release() { cat "$dir/h1.json" >&3; exec 3>&-; }

check "SIGHUP in the start is harmless"
start_held hup
kill -HUP "$pid"
kill -HUP "$pid"
release
until_ok serves
kill -TERM "$pid"
expect_exit 0

for signal in TERM INT; do
  check "SIG$signal in the start stops the process in the ordinary way"
  start_held "$signal"
  kill "-$signal" "$pid"
  release
  expect_exit 0
  logged "$signal" 'process ends code=0 reason=stopped'
done

check "a signal that was blocked when the process was started isn't lost"
env --block-signal=TERM bash -c 'kill -TERM $$; exec "$@"' - \
  "$host" --settings "$dir/h1.json" >"$dir/blocked.log" 2>&1 &
pid=$!
pids+=("$pid")
expect_exit 0
logged blocked 'process ends code=0 reason=stopped details=before the host served'

# Guards against starts that fail because the settings file is just being
# written or replaced.
half() { head -c 150 "$dir/h1.json"; }
for state in absent empty half; do
  check "the settings file is $state at the start, then whole: the host serves"
  case $state in
    empty) : >"$dir/$state.json" ;;
    half) half >"$dir/$state.json" ;;
  esac
  start "$state" "$dir/$state.json"
  until_ok logged "$state" 'waits for a whole settings file'
  sleep 0.3
  cp "$dir/h1.json" "$dir/$state.json.new"
  mv "$dir/$state.json.new" "$dir/$state.json"
  until_ok serves
  kill -TERM "$pid"
  expect_exit 0
  [ "$(grep -c 'waits for a whole' "$dir/$state.log")" = 1 ]
done

check "SIGTERM while the host waits for its settings file"
start no_file "$dir/no_file.json"
until_ok logged no_file 'waits for a whole settings file'
kill -TERM "$pid"
expect_exit 0

check "the settings file stays half written: the start fails, --check doesn't wait"
half >"$dir/half.json"
begin=$(now_ms)
"$host" --settings "$dir/half.json" --check 2>/dev/null && exit 1
[ $(($(now_ms) - begin)) -lt 3000 ]
start never "$dir/half.json"
expect_exit 2
logged never 'process ends code=2 reason=start_failed details=settings_invalid: .*JSON'

# Guards against starts that fail because an address isn't free for a moment, or
# isn't there yet.
check "an address is in use: the host waits, and serves once it is free"
start holder "$dir/h1.json"
holder=$pid
until_ok serves
start waiter "$dir/h1.json"
waiter=$pid
until_ok logged waiter 'waits for an address: address 127.0.0.1:'
kill -KILL "$holder"
until_ok logged waiter 'has all addresses now'
until_ok serves
[ "$(grep -c 'waits for an address' "$dir/waiter.log")" = 1 ]

check "SIGTERM while the host waits for an address"
start waiter2 "$dir/h1.json"
until_ok logged waiter2 'waits for an address'
kill -TERM "$pid"
expect_exit 0
kill -TERM "$waiter"
pid=$waiter
expect_exit 0

check "an address that the machine doesn't have: the host waits"
write_settings "$dir/foreign.json" "\"own_listen\": \"192.0.2.1:$((base + 5))\","
start foreign "$dir/foreign.json"
until_ok logged foreign 'waits for an address: address 192.0.2.1:'
serves && exit 1  # no listener before all addresses are there
kill -TERM "$pid"
expect_exit 0

# Guards against hosts that don't start because a port is taken that they need
# only for the requests of other hosts.
check "the default port for forwarded requests is in use: the host starts without it"
taken=$((base + 5))
"$1/tests/fake_store" --listen "127.0.0.1:$taken" >"$dir/taken.log" 2>&1 &
taken_pid=$!
pids+=("$taken_pid")
until_ok eval "(exec 3<>/dev/tcp/127.0.0.1/$taken)"
sed "s/:$((base + 3))\"/:$((base + 6))\"/" "$dir/h1.json" >"$dir/taken.json"
start without "$dir/taken.json"
until_ok serves
until_ok logged without "starts without an address: 127.0.0.1:$taken"
kill -TERM "$pid"
expect_exit 0
kill "$taken_pid"
wait "$taken_pid" 2>/dev/null || true

# Guards against log lines that are written into a socket of the host.
check "closed standard descriptors: no other descriptor gets their numbers"
"$host" --settings "$dir/h1.json" <&- >&- 2>&- &
pid=$!
pids+=("$pid")
until_ok serves
for number in 0 1 2; do
  [ "$(readlink "/proc/$pid/fd/$number")" = /dev/null ] ||
    { echo "descriptor $number: $(readlink "/proc/$pid/fd/$number")" >&2; exit 1; }
done
kill -TERM "$pid"
expect_exit 0

echo "all checks passed"
