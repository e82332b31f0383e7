#!/usr/bin/env bash
# Guards against requests that are refused, or run, by a configuration that is no
# longer in force while hosts are replaced one after the other: two hosts reach no
# runner, two others lose the store again and again, and each half second brings
# another configuration.
# Usage: replaced_hosts_process_test.sh BUILD_DIR [EARLIER_BUILD_DIR]
#   EARLIER_BUILD_DIR  of another version, with which all hosts begin
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
earlier=${2:-$build}
earlier_hosts=" a1 a2 b1 b2 c1 c2 "
. tests/process_functions.sh

change_ms=500
refused_ms=2500   # of the store, for b1 and b2
replace_s=5       # from one host to the next
kept_routes=20
hosts=(a1 a2 b1 b2 c1 c2)
judged_hosts=(a1 a2 c1 c2)  # those that reach the store all the time
. tests/configuration_functions.sh

# Version V adds the route /mV/ to the service counter and moves the one before it to
# the service other.
write_moving_configuration() {  # VERSION
  jq --argjson version "$1" --argjson kept $kept_routes '
    def route($name; $service): .routes[1] + {name: $name, path_prefix: ("/" + $name + "/"), service: $service};
    . as $base
    | .version = $version
    | .services += [{name: "other", max_connections: 100}]
    | .tenants[0] += {rate_per_s: 100000000}
    | .routes += [range([1, $version - $kept] | max; $version + 1) as $i
        | $base | route("m\($i)"; if $i < $version then "other" else "counter" end)]
    | .routes += [range(40) as $i | $base | route("unused-\($i)"; "counter")]
    ' tests/stand_ins/configuration.json >"$dir/moving-$1.json"
  put config "$dir/moving-$1.json"
  echo "$1 $(now_ms)" >>"$dir/acknowledged"
}
change_until() {  # END
  local version=1
  while [ "$(now_ms)" -lt "$1" ]; do
    version=$((version + 1))
    write_moving_configuration $version
    sleep 0.4
  done
}
# Sends to the route that was moved last by a version that has to be in force, and
# logs time, host, id and status.
send_moved_until() {  # END HOST
  local number=0 id route
  while [ "$(now_ms)" -lt "$1" ]; do
    route=$(awk -v by=$(($(now_ms) - config_ms)) '$2 <= by { v = $1 } END { print v - 1 }' "$dir/acknowledged")
    number=$((number + 1))
    id="$2-m$route-$number-$RANDOM"
    [ "$route" -lt 1 ] || echo "$(now_ms) $2 $id $(curl -s -o /dev/null -w '%{http_code}' \
      --max-time $((deadline_ms / 1000)) -H 'Host: provador.example' \
      -H 'Authorization: Bearer demo-key' -H "Request-Id: $id" -H "Deadline-Ms: $deadline_ms" \
      -X POST -d x "http://127.0.0.1:$(port_of "$2")/m$route/x" || true)" >>"$dir/sent"
    sleep 0.03
  done
}

start_stand_ins
start_hosts c1 a1 a2 b1 b2 c2
declare -A host_pid
n=0
for host in c1 a1 a2 b1 b2 c2; do
  host_pid[$host]=${pids[$((${#pids[@]} - 6 + n))]}
  n=$((n + 1))
done
sleep 2

check "configurations change, a1 and a2 reach no runner, b1 and b2 lose the store at times"
lasts_ms=$(((${#hosts[@]} + 1) * replace_s * 1000))
end=$(($(now_ms) + lasts_ms))
write_moving_configuration 1
change_until $end &
workers=($!)
cut_from_runners $((lasts_ms + 20000)) a1 a2
for host in "${judged_hosts[@]}"; do
  for _ in 1 2; do
    send_moved_until $end "$host" &
    workers+=($!)
  done
done
pids+=("${workers[@]}")

check "hosts are replaced one after the other"
for host in b1 a1 c1 b2 a2 c2; do
  refuse_store $refused_ms b1 b2
  sleep $((replace_s - 1))
  kill -TERM "${host_pid[$host]}"
  # Nobody waits for its connections, as on a machine that is taken away.
  sleep 1
  kill -KILL "${host_pid[$host]}" 2>/dev/null || true
  wait "${host_pid[$host]}" 2>/dev/null || true
  start_host_from "$host" "$(port_of "$host")" "$(source_of "$host")" "$build"
done
wait "${workers[@]}"

refused=$(awk '$4 == 401 || $4 == 403 || $4 == 404 { n++ } END { print n + 0 }' "$dir/sent")
moved=$(cut -d' ' -f2 "$dir/counter.runs" | sort | comm -12 - <(cut -d' ' -f3 "$dir/sent" | sort) | wc -l)
for host in "${judged_hosts[@]}"; do
  awk -v host="$host" '$2 == host { all++; if ($4 == 200) ok++; if ($4 == "000") none++ }
    END { print "  " host ": " ok + 0 " of " all + 0 " served, " none + 0 " without an answer" }' "$dir/sent"
done
echo "  $refused refused and $moved run by a configuration that is no longer in force"
[ "$refused" = 0 ] && [ "$moved" = 0 ] || { echo "FAILED" >&2; exit 1; }
echo "all checks passed"
