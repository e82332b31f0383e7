# Functions for tests of real processes, to be sourced with `build` set: they
# start hosts and stand-ins on free ports of loopback, and end them on exit.
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

# The time limits that the users require, in ms.
start_ms=10000     # from the start of the hosts to the first requests
config_ms=2000     # until an acknowledged change is in force
deadline_ms=8000   # the deadline that callers send with each request
recovery_ms=12000  # until requests are served again after a fault

now_ms() { echo $((${EPOCHREALTIME/[.,]/} / 1000)); }
until_ok() {  # MS COMMAND ...
  local limit=$1 start
  start=$(now_ms)
  shift
  until "$@" >/dev/null 2>&1; do
    [ $(($(now_ms) - start)) -lt "$limit" ] ||
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
start_host() {  # NAME PORT FIRST [MEMBER, ...]
  cat >"$dir/$1.json" <<JSON
{"host": "$1", "data_centre": "a", "listen": "127.0.0.1:$2",
 "ready_listen": "127.0.0.1:$(($2 + 1))", "admin_listen": "127.0.0.1:$(($2 + 2))",
 "peer_listen": "127.0.0.1:$(($2 + 3))", "forward_listen": "127.0.0.1:$(($2 + 4))",
 "store": "$store", ${4-} "first_start": $3}
JSON
  "$build/host/cicadaloft-host" --settings "$dir/$1.json" >>"$dir/$1.log" 2>&1 &
  pids+=($!)
  eval "pid_$1=$!"
}
# Starts a host whose connections come from an address of its own, so that
# stand-ins can cut it off. Its data centre is the first letter of its name.
start_host_from() {  # NAME PORT SOURCE_ADDRESS [BUILD_DIR]
  cat >"$dir/$1.json" <<JSON
{"host": "$1", "data_centre": "${1:0:1}", "listen": "127.0.0.1:$2",
 "ready_listen": "127.0.0.1:$(($2 + 1))", "admin_listen": "127.0.0.1:$(($2 + 2))",
 "peer_listen": "127.0.0.1:$(($2 + 3))", "forward_listen": "127.0.0.1:$(($2 + 4))",
 "store": "$store", "first_start": true}
JSON
  ASAN_OPTIONS=verify_asan_link_order=0 LD_PRELOAD="$build/tests/libconnect_source.so" \
    CICADALOFT_TEST_SOURCE=$3 \
    "${4:-$build}/host/cicadaloft-host" --settings "$dir/$1.json" >>"$dir/$1.log" 2>&1 &
  pids+=($!)
}
send_request() {  # PORT PATH ID [OPTION ...]
  curl -sS --fail --max-time $((deadline_ms / 1000)) -H 'Host: provador.example' -X POST -d x \
    -H 'Authorization: Bearer demo-key' -H "Request-Id: $3" \
    -H "Deadline-Ms: $deadline_ms" "${@:4}" "http://127.0.0.1:$1$2"
}
check() { echo "- $*"; }
