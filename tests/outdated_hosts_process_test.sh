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
hosts=(a1 a2 b1 b2)  # a2 holds the lease
. tests/configuration_functions.sh

start_stand_ins
start_hosts a2 a1 b1 b2
sleep 3

check "b1 and b2 don't reach the store while the configuration changes"
refuse_store $outage_ms b1 b2
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
cut_from_runners $cut_ms a1
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
