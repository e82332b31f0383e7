#!/usr/bin/env bash
# Guards against callers that are refused, or served, by a configuration that is no
# longer in force: their host reaches no runner, and the hosts that take its
# requests don't reach the store.
# Usage: outdated_hosts_process_test.sh BUILD_DIR [EARLIER_BUILD_DIR HOST ...]
#   EARLIER_BUILD_DIR  of another version, whose program the hosts named run
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
earlier=${2:-}
earlier_hosts=" ${*:3} "
. tests/process_functions.sh

outage_ms=18000
cut_ms=11000
detection_ms=3000  # from the begin of a cut until it is judged
judged_ms=5000
wrong=0
fail() { echo "FAILED: $*" >&2; wrong=$((wrong + 1)); }
hosts=(a1 a2 b1 b2)  # a2 starts first, and holds the lease
services=(counter other)

number_of() { printf '%s\n' "${hosts[@]}" | grep -n "^$1$" | cut -d: -f1; }
port_of() { echo $((base + 10 + 5 * $(number_of "$1"))); }
source_of() { echo "127.0.0.$((10 + $(number_of "$1")))"; }
runner_port() { echo $((base + 1 + $1)); }

# Larger than the records that are relayed. The route /moved/ and the keys follow
# the version.
write_configuration() {  # VERSION KEY SERVICE_OF_MOVED ADDED
  jq --argjson version "$1" --arg key "$2" --arg moved "$3" --argjson added "$4" '
    def route($name; $service): .routes[1] + {name: $name, path_prefix: ("/" + $name + "/"), service: $service};
    . as $base
    | .version = $version
    | .services += [{name: "other", max_connections: 100}]
    | .tenants[0] += {api_keys: ["demo-key", $key], rate_per_s: 100000000}
    | .routes += [$base | route("moved"; $moved)]
    | .routes += (if $added then [$base | route("added"; "counter")] else [] end)
    | .routes += [range(40) as $i | $base | route("unused-\($i)"; "counter")]
    ' tests/stand_ins/configuration.json >"$dir/configuration-$1.json"
  put config "$dir/configuration-$1.json"
}
# Sends requests until a time; logs the id, the status and the path of each.
send_until() {  # END HOST PATH KEY
  local number=0 id status
  while [ "$(now_ms)" -lt "$1" ]; do
    number=$((number + 1))
    id="$2-${3//\//}-$4-$number-$RANDOM"
    status=$(curl -s -o /dev/null -w '%{http_code}' --max-time $((deadline_ms / 1000)) \
      -H 'Host: provador.example' -H "Authorization: Bearer $4" -H "Request-Id: $id" \
      -H "Deadline-Ms: $deadline_ms" -X POST -d x "http://127.0.0.1:$(port_of "$2")$3" || true)
    echo "$id $status $3 $4" >>"$dir/sent"
    sleep 0.02
  done
}
count() { awk "$1 { n++ } END { print n + 0 }" "$dir/sent"; }

# Without an era only offsets tell what is newer.
"$build/tests/fake_store" --listen "$store" --era none >"$dir/store.log" 2>&1 &
pids+=($!)
until_ok $start_ms curl -fs "http://$store/log-newest?topic=keyed.op&part=0"
write_configuration 1 old-key counter false
for i in 0 1; do
  "$build/tests/fake_runner" --listen "127.0.0.1:$(runner_port $i)" --id "${services[i]}" \
    --service "${services[i]}" --zone a --store "$store" --work-ms 20 \
    --runs "$dir/${services[i]}.runs" >"$dir/${services[i]}.log" 2>&1 &
  pids+=($!)
done
for host in a2 a1 b1 b2; do
  program=$build
  [[ "$earlier_hosts" != *" $host "* ]] || program=$earlier
  start_host_from "$host" "$(port_of "$host")" "$(source_of "$host")" "$program"
  until_ok $start_ms curl -fs "http://127.0.0.1:$(($(port_of "$host") + 1))/readyz"
  until_ok $start_ms send_request "$(port_of "$host")" /reservations/a "first-$host"
  until_ok $start_ms grep -q lease.gained "$dir/a2.log"
done
sleep 3

check "b1 and b2 don't reach the store while the configuration changes"
for host in b1 b2; do
  curl -fsS -o /dev/null -X POST "http://$store/admin/refuse?from=$(source_of $host)&for_ms=$outage_ms"
done
sleep 1
write_configuration 2 new-key other true
write_configuration 3 new-key other true
sleep $((config_ms / 1000))

check "b1 and b2 get it over their links to the lease holder"
for host in b1 b2; do
  # Neither a host nor a holder of the earlier version can do that.
  [[ "$earlier_hosts" != *" $host "* && "$earlier_hosts" != *" a2 "* ]] || continue
  until_ok $((2 * config_ms)) send_request "$(port_of $host)" /added/a "linked-$host"
done

check "a1 reaches no runner"
for i in 0 1; do
  curl -fsS -o /dev/null -X POST \
    "http://127.0.0.1:$(runner_port $i)/admin/cut?from=$(source_of a1)&how=reset&for_ms=$cut_ms"
done
began=$(now_ms)
senders=()
for kind in "/added/a new-key" "/moved/a new-key" "/moved/a demo-key" "/reservations/a old-key"; do
  read -r path key <<<"$kind"
  send_until $((began + detection_ms + judged_ms)) a1 "$path" "$key" &
  senders+=($!)
  send_until $((began + detection_ms + judged_ms)) a1 "$path" "$key" &
  senders+=($!)
done
pids+=("${senders[@]}")
wait "${senders[@]}"

refused=$(count '$4 != "old-key" && ($2 == 401 || $2 == 403 || $2 == 404)')
served=$(count '$4 != "old-key" && $2 == 200')
all=$(count '$4 != "old-key"')
withdrawn=$(count '$4 == "old-key" && $2 == 200')
moved=$(grep -c 'moved' "$dir/counter.runs" || true)
admitted=$(cat "$dir"/*.runs | grep -c 'old-key' || true)
echo "  of $all requests $served served, $refused refused by an older configuration;"
echo "  $moved run by the earlier service, $admitted with a key that is withdrawn"
[ "$refused" = 0 ] || fail "$refused requests refused by an older configuration"
[ "$moved" = 0 ] || fail "$moved requests run by the earlier service"
[ "$withdrawn" = 0 ] && [ "$admitted" = 0 ] || fail "$admitted requests run with a key that is withdrawn"
# The rule RECOVER: two thirds of the share at hosts that reach the runners.
[ $((3 * served)) -ge $((2 * all)) ] || fail "too few requests served"

check "no request that was refused has run"
cat "$dir"/*.runs | cut -d' ' -f2 | sort >"$dir/ran"
run_refused=$(awk '$2 == 503 || $2 == 429 { print $1 }' "$dir/sent" | sort | comm -12 - "$dir/ran" | wc -l)
[ "$run_refused" = 0 ] || fail "$run_refused requests run though refused"

[ $wrong = 0 ] || { echo "$wrong checks failed" >&2; exit 1; }
echo "all checks passed"
