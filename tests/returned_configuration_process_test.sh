#!/usr/bin/env bash
# Guards against a host that goes back to an older configuration: another host has
# served its callers by a newer one, and then it refuses them by its own.
# Usage: returned_configuration_process_test.sh BUILD_DIR [EARLIER_BUILD_DIR HOST ...]
#   EARLIER_BUILD_DIR  of another version, whose program the hosts named run
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
earlier=${2:-}
earlier_hosts=" ${*:3} "
. tests/process_functions.sh

outage_ms=40000
cut_ms=40000
revert_ms=250  # from the effect of a version until no older one may be seen
rounds=5
returned=0
hosts=(a1 b1 b2)
. tests/configuration_functions.sh

start_stand_ins
start_hosts b1 b2 a1
sleep 3

send() {  # PATH ID; prints the status
  curl -s -o /dev/null -w '%{http_code}' --max-time $((deadline_ms / 1000)) \
    -H 'Host: provador.example' -H "Authorization: Bearer demo-key" -H "Request-Id: $2" \
    -H "Deadline-Ms: $deadline_ms" -X POST -d x "http://127.0.0.1:$(port_of a1)$1" || true
}
has_run() { grep -q -- "$1" "$dir/$2.runs" 2>/dev/null; }

check "a1 reaches neither the store nor a runner while the configuration changes"
refuse_store $outage_ms a1
cut_from_runners $cut_ms a1
sleep 3
for round in $(seq $rounds); do
  # The route /moved/ leads to the other service, and /added/ is there, or not.
  write_configuration $((2 * round)) new-key other true
  seen=no
  began=$(now_ms)
  while [ $seen = no ] && [ $(($(now_ms) - began)) -lt $recovery_ms ]; do
    id="moved-$round-$RANDOM"
    send /moved/a "$id" >/dev/null
    ! has_run "$id" other || seen=$(now_ms)
  done
  [ $seen != no ] || { echo "version $((2 * round)) is not seen at a1" >&2; exit 1; }
  while [ $(($(now_ms) - seen)) -le $revert_ms ]; do sleep 0.01; done
  refused=0
  for number in $(seq 50); do
    [ "$(send /added/a "added-$round-$number")" != 404 ] || refused=$((refused + 1))
  done
  echo "  round $round: seen after $((seen - began)) ms, then $refused of 50 requests refused by the version before"
  returned=$((returned + refused))
  write_configuration $((2 * round + 1)) new-key counter false
  sleep $((2 * config_ms / 1000))
done
[ $returned = 0 ] || { echo "$returned requests refused by an older version than callers have seen" >&2; exit 1; }
echo "all checks passed"
