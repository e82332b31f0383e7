#!/usr/bin/env bash
# More callers hold connections to a host than it has file descriptors.
# Guards against: callers take the last descriptor, so that the host answers no
# readiness probe and reaches neither targets nor the store.
# Usage: descriptor_limit_test.sh BUILD_DIR
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

descriptors=400
callers=500
recovery_ms=12000  # until requests are served again
base=${CICADALOFT_TEST_PORT:-29500}
is_free() { ! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }
ports_free() { for p in $(seq "$1" $(($1 + 8))); do is_free "$p" || return 1; done; }
while ! ports_free "$base"; do base=$((base + 10)); done
store=127.0.0.1:$base
host=127.0.0.1:$((base + 2))

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
is_ready() { curl -fsS --max-time 1 "http://127.0.0.1:$((base + 3))/readyz"; }
request_text() {  # ID
  printf 'POST /reservations/a HTTP/1.1\r\nHost: provador.example\r\nRequest-Id: %s\r\nAuthorization: Bearer demo-key\r\nDeadline-Ms: 4000\r\nContent-Length: 1\r\n\r\nx' "$1"
}
status_on() {  # DESCRIPTOR ID
  local line=""
  request_text "$2" >&"$1"
  read -r -t 5 -u "$1" line || true
  echo "${line:9:3}"
}
send_request() {
  curl -fsS --max-time 4 -X POST -d x -H 'Host: provador.example' -H "Request-Id: $1" \
    -H 'Authorization: Bearer demo-key' -H 'Deadline-Ms: 4000' "http://$host/reservations/a"
}

"$build/tests/fake_store" --listen "$store" >"$dir/store.log" 2>&1 &
pids+=($!)
until_ok 10000 curl -fs "http://$store/log-newest?topic=keyed.op&part=0"
curl -fsS -o /dev/null --data-binary @tests/stand_ins/configuration.json \
  "http://$store/admin/put?topic=keyed.op&key=config"
"$build/tests/fake_runner" --listen "127.0.0.1:$((base + 1))" --id counter --service counter \
  --zone a --store "$store" >"$dir/counter.log" 2>&1 &
pids+=($!)
cat >"$dir/h1.json" <<JSON
{"host": "h1", "data_centre": "a", "listen": "$host",
 "ready_listen": "127.0.0.1:$((base + 3))", "admin_listen": "127.0.0.1:$((base + 4))",
 "peer_listen": "127.0.0.1:$((base + 5))", "store": "$store", "first_start": true}
JSON
(ulimit -n $descriptors && exec "$build/host/cicadaloft-host" --settings "$dir/h1.json") \
  >"$dir/h1.log" 2>&1 &
pids+=($!)
host_pid=$!
until_ok 10000 is_ready

echo "- the bound on callers is lowered and logged"
until_ok 2000 grep -q 'callers.*descriptors' "$dir/h1.log"

echo "- with more callers than descriptors the host is ready and serves"
held=()
for _ in $(seq 1 $callers); do
  if exec {descriptor}<>"/dev/tcp/127.0.0.1/$((base + 2))"; then held+=("$descriptor"); fi
done
[ ${#held[@]} -ge $descriptors ]
for i in 1 2 3 4 5; do
  is_ready >/dev/null
  status=$(status_on "${held[$i]}" "held-$i")
  [ "$status" = 200 ] || { echo "request on a held connection: $status" >&2; exit 1; }
  sleep 0.5
done
kill -0 $host_pid

echo "- without the callers it serves new ones"
for descriptor in "${held[@]}"; do exec {descriptor}>&-; done
until_ok $recovery_ms send_request after
is_ready >/dev/null
echo "all checks passed"
