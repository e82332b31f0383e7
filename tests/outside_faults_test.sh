#!/usr/bin/env bash
# Runs two hosts whose connections to the store and to one of two runners go
# through proxies, under constant traffic, and plays each fault of the proxy.
# Guards against: a fault below HTTP ends a host, leaves a request without an
# answer, runs a request twice, or lasts longer than it does.
# Usage: outside_faults_test.sh BUILD_DIR
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

base=${CICADALOFT_TEST_PORT:-29000}
is_free() { ! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }
ports_free() { for p in $(seq "$1" $(($1 + 40))); do is_free "$p" || return 1; done; }
while ! ports_free "$base"; do base=$((base + 50)); done
store=127.0.0.1:$base

start_ms=10000
recovery_ms=12000  # until requests are served again after a fault
fault_ms=1500
store_fault_ms=3500  # longer than a long poll waits for its response
ready_ms=1000      # for an answer of the readiness port

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
start() {  # LOG COMMAND ...
  "${@:2}" >"$dir/$1.log" 2>&1 &
  pids+=($!)
}
start_proxy() {  # NAME PORT TO; its admin port is the next
  start "$1" "$build/tests/fault_proxy" --listen "127.0.0.1:$2" --to "127.0.0.1:$3" \
    --admin "127.0.0.1:$(($2 + 1))"
  until_ok $start_ms curl -fs "http://127.0.0.1:$(($2 + 1))/admin/counts"
}
start_host() {  # NAME PORT STORE PEER_PORT
  cat >"$dir/$1.json" <<JSON
{"host": "$1", "data_centre": "a", "listen": "127.0.0.1:$2",
 "ready_listen": "127.0.0.1:$(($2 + 1))", "admin_listen": "127.0.0.1:$(($2 + 2))",
 "peer_listen": "127.0.0.1:$(($2 + 3))", "store": "$3", "first_start": true}
JSON
  start "$1" "$build/host/cicadaloft-host" --settings "$dir/$1.json"
  eval "pid_$1=$!"
  until_ok $start_ms curl -fs "http://127.0.0.1:$(($2 + 1))/readyz"
}
# Sends a request with an id of its own and writes "ID STATUS CURL_CODE" to the
# results.
request_count=0
send_request() {  # PORT NAME
  local status code=0 id=$2-$((++request_count))
  status=$(curl -s -o /dev/null -w '%{http_code}' --max-time 6 -X POST -d x \
    -H 'Host: provador.example' -H 'Authorization: Bearer demo-key' -H "Request-Id: $id" \
    -H 'Deadline-Ms: 4000' "http://127.0.0.1:$1/reservations/a") || code=$?
  echo "$id $status $code" >>"$dir/results"
  [ "$status" = 200 ]
}
seen() { curl -fsS "http://127.0.0.1:$1/seen" | jq -r '.[]'; }
seen_all() { seen $((base + 1)); seen $((base + 2)); }
probe_ready() {
  local status
  while true; do
    for port in $((base + 21)) $((base + 26)); do
      status=$(curl -s -o /dev/null -w '%{http_code}' --max-time $((ready_ms / 1000)) \
        "http://127.0.0.1:$port/readyz") || true
      [ "$status" != 000 ] || echo "$port" >>"$dir/late_probes"
    done
    sleep 0.3
  done
}

start store "$build/tests/fake_store" --listen "$store"
until_ok $start_ms curl -fs "http://$store/log-newest?topic=keyed.op&part=0"
curl -fsS -o /dev/null --data-binary @tests/stand_ins/configuration.json \
  "http://$store/admin/put?topic=keyed.op&key=config"
for name in 1 2; do
  start "counter$name" "$build/tests/fake_runner" --listen "127.0.0.1:$((base + name))" \
    --id "counter$name" --service counter --zone a --store "$store"
done
until_ok $start_ms curl -fs "http://127.0.0.1:$((base + 1))/seen"
until_ok $start_ms curl -fs "http://127.0.0.1:$((base + 2))/seen"
start_proxy store_path $((base + 10)) "$base"
start_proxy runner_path $((base + 12)) $((base + 1))
# From now on hosts reach the first runner through its proxy.
curl -fsS "http://$store/log-newest?topic=keyed.servers&part=0" |
  jq -r '.items[] | select(.key == "counter1") | .value' | base64 -d |
  jq -c ".address = \"127.0.0.1:$((base + 12))\"" >"$dir/record"
curl -fsS -o /dev/null --data-binary @"$dir/record" \
  "http://$store/admin/put?topic=keyed.servers&key=counter1"
start_host h1 $((base + 20)) "127.0.0.1:$((base + 10))"
start_host h2 $((base + 25)) "127.0.0.1:$((base + 10))"
until_ok $start_ms send_request $((base + 20)) first-1
until_ok $start_ms send_request $((base + 25)) first-2
probe_ready &
pids+=($!)

inject() {  # PORT_OF_PROXY KIND MS
  curl -fsS -o /dev/null -X POST \
    "http://127.0.0.1:$(($1 + 1))/admin/fault?kind=$2&for_ms=$3&ms=300"
}
# Sends requests to both hosts in turn, 20 a second, while the fault is in force.
play() {  # PATH PORT_OF_PROXY KIND MS
  local i jobs=() job
  echo "- $1: $3"
  case $3 in
    half) inject "$2" reset 0 ;;      # Only a new connection can end early.
    reset) inject "$2" delay "$4" ;;  # So that requests are under way.
  esac
  [ "$3" = reset ] || inject "$2" "$3" "$4"
  for i in $(seq 1 $(($4 / 50))); do
    (send_request $((base + 20 + i % 2 * 5)) "$1-$3-$i" || true) &
    jobs+=($!)
    sleep 0.04
    [ "$3-$i" != reset-10 ] || inject "$2" reset 0
  done
  for job in "${jobs[@]}"; do wait "$job"; done
  until_ok $recovery_ms send_request $((base + 20)) "$1-$3-after-h1"
  until_ok $recovery_ms send_request $((base + 25)) "$1-$3-after-h2"
  kill -0 "$pid_h1" && kill -0 "$pid_h2"
}
for kind in delay reset cut_up cut_down silence refuse half; do
  play runner $((base + 12)) $kind $fault_ms
done
for kind in delay reset cut_up cut_down refuse half; do
  play store $((base + 10)) $kind $fault_ms
done
play store $((base + 10)) silence $store_fault_ms

echo "- the faults have reached the hosts"
for port in $((base + 11)) $((base + 13)); do
  [ "$(curl -fsS "http://127.0.0.1:$port/admin/counts" | jq .lost_bytes)" -gt 0 ]
done
for kind in reset cut_up cut_down silence; do
  grep -q "^runner-$kind-.* 50[24] 0$" "$dir/results"
done
grep -qE '^runner-half-.* (502 0|200 18)$' "$dir/results"
grep -q store.lost "$dir/h1.log"

echo "- each request has got an answer, which says truly whether it has run"
seen_all | sort >"$dir/seen"
# Curl's 18 is a response that breaks off visibly.
if grep -vE '( (200|429|502|503|504) 0|^runner-half-.* 200 18)$' "$dir/results"; then
  echo "requests without a sound answer" >&2; exit 1
fi
if uniq -d "$dir/seen" | grep .; then
  echo "requests that ran twice" >&2; exit 1
fi
if grep -E ' (429|503) 0$' "$dir/results" | cut -d' ' -f1 | sort |
    comm -12 - "$dir/seen" | grep .; then
  echo "requests that ran, and were refused" >&2; exit 1
fi
if grep '^store-.* [45].. 0$' "$dir/results"; then
  echo "requests that failed for a fault of the store" >&2; exit 1
fi
echo "- the readiness ports have answered in time"
if [ -e "$dir/late_probes" ]; then cat "$dir/late_probes"; exit 1; fi
cut -d' ' -f2- "$dir/results" | sort | uniq -c
echo "all checks passed: $(wc -l <"$dir/results") requests"
