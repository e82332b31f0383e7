# Functions for the scripts in review/6 to review/10, to be sourced in the
# repository's root with `case_dir` set. They start hosts and stand-ins on free
# ports of loopback, with a temporary folder, and end all of them on exit.
dir=$(mktemp -d)
record=$case_dir/record.txt
: >"$record"
pids=()
end_processes() {
  local pid
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  pids=()
}
on_exit() {
  local code=$?
  end_processes
  rm -rf "$dir"
  exit "$code"
}
trap on_exit EXIT
trap 'exit 2' INT TERM

host_program=${REVIEW_HOST:-target/host/cicadaloft-host}
stand_ins=review/build-2
need() {  # PROGRAM ...
  local program
  for program in "$@"; do
    [ -x "$program" ] || { echo "$program is missing" >&2; exit 2; }
  done
}
need "$host_program" "$stand_ins/call" "$stand_ins/fake_store"
call() { "$stand_ins/call" "$@"; }

base=${REVIEW_PORT:-26000}
is_free() { ! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }
ports_free() { for p in $(seq "$1" $(($1 + 60))); do is_free "$p" || return 1; done; }
while ! ports_free "$base"; do base=$((base + 100)); done
store=127.0.0.1:$base

now_ms() { echo $((${EPOCHREALTIME/[.,]/} / 1000)); }
note() { echo "$(now_ms) $*" >>"$record"; }
fail_setup() { echo "can't run: $*" >&2; note "can't run: $*"; exit 2; }
until_ok() {  # MS COMMAND ...
  local limit=$1 start
  start=$(now_ms)
  shift
  until "$@" >/dev/null 2>&1; do
    [ $(($(now_ms) - start)) -lt "$limit" ] || return 1
    sleep 0.05
  done
}
put() { call --to "$store" --post --file "$2" "/admin/put?topic=keyed.op&key=$1" >/dev/null; }
start_store() {
  "$stand_ins/fake_store" --listen "$store" >"$dir/store.log" 2>&1 &
  pids+=($!)
  until_ok 5000 call --to "$store" "/log-newest?topic=keyed.op&part=0" ||
    fail_setup "no store"
}
caller_port() { echo $((base + 20 + 5 * $1)); }
# The settings are those of a small deployment, as the template renders them.
start_host() {  # NUMBER FIRST_START
  local port
  port=$(caller_port "$1")
  cat >"$dir/h$1.json" <<JSON
{"host": "frontend-$1", "data_centre": "a", "listen": "127.0.0.1:$port",
 "ready_listen": "127.0.0.1:$((port + 1))", "admin_listen": "127.0.0.1:$((port + 2))",
 "peer_listen": "127.0.0.1:$((port + 3))", "store": "$store", "first_start": $2,
 "cores": 0.25, "stop_time": "8s", "retry_ratio": 0.2, "retry_slack": 54,
 "limit_overshoot": 0.1, "limit_slack": 7400, "limit_window": "8s",
 "drain_time": "2000ms", "holder_gap": "3000ms"}
JSON
  CICADALOFT_BOOT="$dir/h$1.json" "$host_program" >>"$dir/h$1.log" 2>&1 &
  host_pids[$1]=$!
  pids+=($!)
}
await_ready() {  # NUMBER ...
  local number
  for number in "$@"; do
    until_ok 10000 call --to "127.0.0.1:$(($(caller_port "$number") + 1))" /readyz ||
      fail_setup "host $number is not ready"
  done
}
