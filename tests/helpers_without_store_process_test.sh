#!/usr/bin/env bash
# Guards against callers that are refused, or served by an older configuration, while
# none of the hosts that could help theirs reaches the store: these lack the newest
# configuration, and the lease is with a host that reaches no runner.
# Usage: helpers_without_store_process_test.sh BUILD_DIR [EARLIER_BUILD_DIR HOST ...]
#   EARLIER_BUILD_DIR  of another version, whose program the hosts named run
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
earlier=${2:-}
earlier_hosts=" ${*:3} "
. tests/process_functions.sh

outage_ms=30000
cut_ms=14000
detection_ms=3000  # from the begin of a cut until it is judged
change_ms=2200     # between two configurations
changes=4
wrong=0
fail() { echo "FAILED: $*" >&2; wrong=$((wrong + 1)); }
hosts=(a1 a2 b1 b2)
. tests/configuration_functions.sh

start_stand_ins
start_hosts b1 a1 a2 b2
sleep 3

check "a1 and a2 reach no runner, b1 and b2 don't reach the store"
cut_from_runners $cut_ms a1 a2
sleep 1
refuse_store $outage_ms b1 b2
until_ok $recovery_ms grep -q lease.gained "$dir/a1.log" "$dir/a2.log"

check "callers of a1 and a2 while the configuration changes"
cut_from_runners $cut_ms a1 a2
write_configuration 2 new-key other true
sleep $((detection_ms / 1000))
began=$(now_ms)
senders=()
for host in a1 a2; do
  for kind in "/added/a new-key" "/moved/a new-key" "/moved/a demo-key"; do
    read -r path key <<<"$kind"
    send_until $((began + changes * change_ms)) $host "$path" "$key" &
    senders+=($!)
  done
done
pids+=("${senders[@]}")
for version in $(seq 3 $((changes + 2))); do
  write_configuration "$version" new-key other true
  sleep $((change_ms / 1000)).$((change_ms % 1000))
done
wait "${senders[@]}"

refused=$(count '$2 == 401 || $2 == 403 || $2 == 404')
served=$(count '$2 == 200')
all=$(count '1')
moved=$(grep -c 'moved' "$dir/counter.runs" || true)
echo "  of $all requests $served served, $refused refused and $moved run by an older configuration"
[ "$refused" = 0 ] || fail "$refused requests refused by an older configuration"
[ "$moved" = 0 ] || fail "$moved requests run by the earlier service"
# The rule RECOVER: two thirds of the share at hosts that reach the runners.
[ $((3 * served)) -ge $((2 * all)) ] || fail "too few requests served"

[ $wrong = 0 ] || { echo "$wrong checks failed" >&2; exit 1; }
echo "all checks passed"
