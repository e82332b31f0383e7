#!/usr/bin/env bash
# Plays each fault of the proxy between curl and the fake store.
# Usage: fault_proxy_test.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
pids=()
on_exit() {
  local code=$? pid
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  exit "$code"
}
trap on_exit EXIT

base=${CICADALOFT_TEST_PORT:-29800}
is_free() { ! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }
while ! is_free "$base" || ! is_free $((base + 1)) || ! is_free $((base + 2)); do
  base=$((base + 10))
done
"$build/tests/fake_store" --listen "127.0.0.1:$base" &
pids+=($!)
"$build/tests/fault_proxy" --to "127.0.0.1:$base" --listen "127.0.0.1:$((base + 1))" \
  --admin "127.0.0.1:$((base + 2))" &
pids+=($!)
admin=http://127.0.0.1:$((base + 2))/admin
fault() { curl -fsS -o /dev/null -X POST "$admin/fault?kind=$1&for_ms=$2"; }
# Faults end when they are told to, as processes may start late on a busy machine.
begin() { fault "$1" 600000; }
end() { fault "$1" 0; }
read_store() { curl -s -o /dev/null --max-time "${1:-5}" "http://127.0.0.1:$((base + 1))/log-newest?topic=t"; }
# Checks the exit code of read_store: curl's 28 is a timeout, 56 a reset, 7 a reset
# that arrives before curl has seen its connection, 52 no response, 18 and 8 a
# response that breaks off.
expect() {  # CODES [TIMEOUT_S]
  local code=0
  read_store "${2:-5}" || code=$?
  [[ " $1 " == *" $code "* ]] || { echo "exit code $code, not $1" >&2; exit 1; }
}
for _ in $(seq 1 100); do read_store && break; sleep 0.05; done
echo "- without a fault"; expect 0
echo "- delay"
begin delay
start=${EPOCHREALTIME/[.,]/}
expect 0
[ $((${EPOCHREALTIME/[.,]/} - start)) -ge 400000 ]
end delay
for kind in cut_up cut_down silence; do
  echo "- $kind"
  begin $kind
  expect 28 0.5
  end $kind
  expect 0
done
echo "- refuse"; begin refuse; expect "7 56 52"; end refuse; expect 0
echo "- half"; begin half; expect "8 18 52 56"; expect 0
echo "- reset"
open_count() { curl -fsS "$admin/counts" | jq .open; }
curl -s -o /dev/null "http://127.0.0.1:$((base + 1))/log-read?topic=t&from=0&wait_ms=5000" &
waiting=$!
until [ "$(open_count)" = 1 ]; do sleep 0.05; done
fault reset 0
code=0
wait "$waiting" || code=$?
[ "$code" = 56 ]
expect 0
curl -fsS "$admin/counts" | grep -qv '"lost_bytes":0'
echo "all checks passed"
