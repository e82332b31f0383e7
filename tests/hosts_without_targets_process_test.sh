#!/usr/bin/env bash
# Guards against hosts that lose their links to all targets for seconds and serve
# their callers far worse than the other hosts meanwhile: some hosts of a data
# centre are cut off from all runners, in three ways, under steady callers.
# Usage: hosts_without_targets_process_test.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
. tests/process_functions.sh

cut_ms=8000
notice_ms=3000    # from the begin and from the end of a cut until it is judged
after_ms=1000     # how long after it the hosts are judged
wrong=0
hosts=(a1 a2 a3 b1 b2 b3)
runners=6
"$build/tests/fake_store" --listen "$store" >"$dir/store.log" 2>&1 &
pids+=($!)
until_ok $start_ms curl -fs "http://$store/log-newest?topic=keyed.op&part=0"
sed 's/"rate_per_s": 100000/"rate_per_s": 100000000/' tests/stand_ins/configuration.json >"$dir/configuration.json"
put config "$dir/configuration.json"
for i in $(seq $runners); do
  "$build/tests/fake_runner" --listen "127.0.0.1:$((base + i))" --id "counter-$i" --service counter \
    --zone "$([ $((i % 2)) = 1 ] && echo a || echo b)" --store "$store" --work-ms 30 \
    --runs "$dir/counter-$i.runs" >"$dir/counter-$i.log" 2>&1 &
  pids+=($!)
done
# Runners tell hosts apart by the source addresses of their connections.
number_of() { printf '%s\n' "${hosts[@]}" | grep -n "^$1$" | cut -d: -f1; }
port_of() { echo $((base + 10 + 5 * $(number_of "$1"))); }
source_of() { echo "127.0.0.$((10 + $(number_of "$1")))"; }
call() {  # HOST KIND CALLERS [OPTION ...]
  "$build/tests/kept_callers" --to "127.0.0.1:$(port_of "$1")" --callers "$3" --ms 170000 \
    --pause-ms 100 --id-prefix "$1-$2-" --log "$dir/$1.calls" "${@:4}" >/dev/null 2>&1 &
  pids+=($!)
}
for host in "${hosts[@]}"; do start_host_from "$host" "$(port_of "$host")" "$(source_of "$host")"; done
for host in "${hosts[@]}"; do
  until_ok $start_ms curl -fs "http://127.0.0.1:$(($(port_of "$host") + 1))/readyz"
  until_ok $start_ms send_request "$(port_of "$host")" /reservations/a "first-$host"
done
for host in "${hosts[@]}"; do
  call "$host" kept 4
  call "$host" new 2 --reconnect
done
sleep 3

steady_ms() { local up; read -r up _ </proc/uptime; echo $((${up/./} * 10)); }
# Prints served and all requests that were sent to hosts within a time.
served() {  # FROM TO HOST ...
  local host
  for host in "${@:3}"; do cat "$dir/$host.calls"; done |
    awk -v from="$1" -v to="$2" '$1 >= from && $1 < to { all++; if ($3 == 200) ok++ }
      END { print ok + 0, all + 0 }'
}
# Whether the served share of the first is at least two thirds of the second's.
is_near() { [ "$2" -gt 0 ] && [ "$4" -gt 0 ] && [ $((3 * $1 * $4)) -ge $((2 * $3 * $2)) ]; }
cut_off() {  # KIND HOST ...
  local kind=$1 host i began others shares ended
  shift
  others=()
  for host in "${hosts[@]}"; do [[ " $* " == *" $host "* ]] || others+=("$host"); done
  began=$(steady_ms)
  for host in "$@"; do
    for i in $(seq $runners); do
      curl -fsS -o /dev/null -X POST \
        "http://127.0.0.1:$((base + i))/admin/cut?from=$(source_of "$host")&how=$kind&for_ms=$cut_ms"
    done
  done
  ended=$((began + cut_ms))
  # A request is logged when it has ended, at the latest 2 s after it was sent.
  sleep $(((cut_ms + notice_ms + after_ms + 2000) / 1000))
  read -r -a shares <<<"$(served $((began + notice_ms)) $ended "$@") $(served $((began + notice_ms)) $ended "${others[@]}")"
  echo "  $kind, $*: ${shares[0]} of ${shares[1]} served, at the others ${shares[2]} of ${shares[3]}"
  is_near "${shares[@]}" || { echo "FAILED: $kind, $*: too few served in the cut" >&2; wrong=$((wrong + 1)); }
  read -r -a shares <<<"$(served $((ended + notice_ms)) $((ended + notice_ms + after_ms)) "$@")"
  echo "  after it: ${shares[0]} of ${shares[1]} served"
  [ "${shares[0]}" -gt 0 ] && [ $((10 * shares[0])) -ge $((9 * shares[1])) ] ||
    { echo "FAILED: $kind, $*: not back after the cut" >&2; wrong=$((wrong + 1)); }
}

check "the cut reaches only its host"
curl -fsS -o /dev/null -X POST "http://127.0.0.1:$((base + 1))/admin/cut?from=127.0.0.99&how=reset&for_ms=500"
[ "$(send_request "$(port_of a1)" /reservations/a only | jq -r .ran)" = only ]

check "one, two and all three hosts of a data centre are cut off"
for kind in hang reset refuse; do
  cut_off $kind a1
  cut_off $kind a1 a2
  [ $kind = hang ] || cut_off $kind a1 a2 a3
done

check "no request ran twice, or ran though it was refused"
cat "$dir"/*.runs | cut -d' ' -f2 | sort >"$dir/ran"
twice=$(uniq -d "$dir/ran" | wc -l)
refused=$(cat "$dir"/*.calls | awk '$3 == 503 || $3 == 429 { print $2 }' | sort | comm -12 - "$dir/ran" | wc -l)
echo "  $(wc -l <"$dir/ran") runs, $twice twice, $refused though refused"
[ "$twice" = 0 ] || { echo "FAILED: $twice ran twice" >&2; wrong=$((wrong + 1)); }
[ "$refused" = 0 ] || { echo "FAILED: $refused ran though refused" >&2; wrong=$((wrong + 1)); }
[ $wrong = 0 ] || { echo "$wrong checks failed" >&2; exit 1; }
echo "all checks passed"
