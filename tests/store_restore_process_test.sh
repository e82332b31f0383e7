#!/usr/bin/env bash
# Guards against fencing tokens that go down, orders of two holders within 3 s,
# orders that never go on, and an outdated configuration after the store has come
# back from an older copy, beside kills and freezes of the holder.
# Usage: store_restore_process_test.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
. tests/process_functions.sh

back_ms=8000
away_ms=1000
handover_ms=3000       # between orders of different holders, as the platform requires
lease_ms=2000          # TTL of the lease and margin: until a holder that can't renew has ended
refusals_per_step=4    # refused records that a host may log for each step back
test_ms=100000
wrong=0
steps=0
version=1
test_began=$(now_ms)
fail() { echo "FAILED: $*" >&2; wrong=$((wrong + 1)); }

"$build/tests/fake_store" --listen "$store" >"$dir/store.log" 2>&1 &
pids+=($!)
until_ok $start_ms curl -fs "http://$store/log-newest?topic=keyed.op&part=0"
put_version() {  # VERSION; each has a key of its own
  jq ".version = $1 | .tenants[0].api_keys = [\"key-$1\"]" tests/stand_ins/configuration.json >"$dir/configuration.json"
  put config "$dir/configuration.json"
}
put_version $version
for i in 1 2 3; do
  start_runner "engine-$i" $((base + i)) engines --disk frames-base,frames-small,frames-natal \
    --load-ms 300 --drop-after-ms 1500 --orders "$dir/orders-$i"
done
start_runner counter $((base + 4)) counter

port_of() { echo $((base + 10 + 5 * ${1#h})); }
pid_of() { eval echo "\$pid_$1"; }
starts=0
start_again() {  # HOST ...
  local host
  for host in "$@"; do
    starts=$((starts + 1))
    mv "$dir/$host.log" "$dir/$host-before-$starts.log"
    start_host "$host" "$(port_of "$host")" false
  done
}
end_host() {
  kill -KILL "$(pid_of "$1")" 2>/dev/null || true
  wait "$(pid_of "$1")" 2>/dev/null || true
}
orders() { cat "$dir"/orders-*; }
order_count() { orders | wc -l; }
has_more_orders_than() { [ "$(order_count)" -gt "$1" ]; }
# Prints the host that has sent the last order.
holder() { orders | jq -rs 'max_by(.at_ms).holder'; }
is_held_by_other_than() { [ "$(holder)" != "$1" ]; }
knows_version() {  # HOST VERSION
  local status
  status=$(curl -s -o /dev/null -w '%{http_code}' --max-time 3 -X POST -d x -H 'Host: provador.example' \
    -H "Authorization: Bearer key-$2" -H "Request-Id: $1-$RANDOM-$RANDOM" -H 'Deadline-Ms: 2000' \
    "http://127.0.0.1:$(port_of "$1")/reservations/a")
  [ "$status" != 401 ] && [ "$status" != 000 ]
}
step_back() {  # [BACK_MS]
  curl -fsS -o /dev/null -X POST "http://$store/admin/restore?back_ms=${1:-$back_ms}&away_ms=$away_ms"
  steps=$((steps + 1))
  stepped_at=$(now_ms)
}
wait_until_back() {
  until_ok $((away_ms + 1000)) curl -fs "http://$store/log-newest?topic=keyed.op&part=0"
}
# Orders go on after the last step; those that its holder sent before its lease
# had ended don't count.
expect_orders() {  # CASE
  local count
  sleep "$(((lease_ms - $(now_ms) + stepped_at) > 0 ? (lease_ms - $(now_ms) + stepped_at) : 0))e-3"
  count=$(order_count)
  until_ok $((recovery_ms - $(now_ms) + stepped_at)) has_more_orders_than "$count" ||
    { fail "$1: no orders"; recover; }
}
expect_new_version() {  # CASE HOST ...
  local host
  version=$((version + 1))
  until_ok $((away_ms + 1000)) put_version $version
  for host in "${@:2}"; do
    until_ok $((config_ms + away_ms)) knows_version "$host" $version ||
      fail "$1: $host doesn't have version $version"
  done
}
# What an operator would do if hosts no longer worked.
recover() {
  local host count
  for host in h1 h2 h3; do end_host "$host"; done
  start_again h1 h2 h3
  count=$(order_count)
  until_ok $recovery_ms has_more_orders_than "$count" || fail "no orders after a start of all hosts"
}
begin() {  # CASE; false if the time of the test is over
  if [ $(($(now_ms) - test_began)) -gt $test_ms ]; then fail "$1: not run"; return 1; fi
  check "$1 ($(((($(now_ms) - test_began)) / 1000)) s, $(order_count) orders)"
}

for i in 1 2 3; do start_host h$i "$(port_of h$i)" true; done
until_ok $start_ms has_more_orders_than 0
for i in 1 2 3; do until_ok $start_ms knows_version h$i $version; done
sleep 9  # So that the copy of the first step has the beginning of the lease.

case_changed() {  # CASE KILLS_SECOND
  local first second
  first=$(holder)
  end_host "$first"
  until_ok $recovery_ms is_held_by_other_than "$first" || fail "$1: no other holder"
  second=$(holder)
  step_back
  start_again "$first"
  if [ "$2" = 1 ]; then end_host "$second"; fi
  wait_until_back
  expect_orders "$1"
  if [ "$2" = 1 ] && ! kill -0 "$(pid_of "$second")" 2>/dev/null; then start_again "$second"; fi
  expect_new_version "$1" h1 h2 h3
}

name="the holder changed in the lost seconds, and is killed"
if begin "$name"; then case_changed "$name" 1; fi

name="the holder lives; a configuration of the lost seconds stays in force"
if begin "$name"; then
  version=$((version + 1))
  put_version $version
  for host in h1 h2 h3; do until_ok $config_ms knows_version $host $version || fail "$name: version before"; done
  sleep 0.5
  step_back
  until [ $(($(now_ms) - stepped_at)) -gt $((away_ms + 2000)) ]; do
    for host in h1 h2 h3; do knows_version $host $version || fail "$name: $host went back"; done
  done
  expect_orders "$name"
  expect_new_version "$name" h1 h2 h3
fi

name="the holder is frozen for 4 s"
if begin "$name"; then
  frozen=$(holder)
  kill -STOP "$(pid_of "$frozen")"
  step_back
  sleep 4
  kill -CONT "$(pid_of "$frozen")"
  expect_orders "$name"
  expect_new_version "$name" h1 h2 h3
fi

name="two steps in a row"
if begin "$name"; then
  step_back
  wait_until_back
  sleep 1
  step_back
  wait_until_back
  expect_orders "$name"
  expect_new_version "$name" h1 h2 h3
fi

name="the holder is killed"
if begin "$name"; then
  killed=$(holder)
  step_back
  end_host "$killed"
  wait_until_back
  expect_orders "$name"
  kill -0 "$(pid_of "$killed")" 2>/dev/null || start_again "$killed"
  expect_new_version "$name" h1 h2 h3
fi

name="a renewal is executed after the step"
if begin "$name"; then
  curl -fsS -o /dev/null -X POST "http://$store/admin/delay?topic=cicadaloft.lease&for_ms=1800"
  sleep 0.7  # Longer than the interval of renewals.
  step_back 1  # Keeps the record that the delayed one follows.
  wait_until_back
  expect_orders "$name"
fi

name="all hosts are killed while the store is away"
if begin "$name"; then
  step_back
  for host in h1 h2 h3; do end_host $host; done
  start_again h1 h2 h3
  wait_until_back
  expect_orders "$name"
  expect_new_version "$name" h1 h2 h3
fi

name="the holder changed in the lost seconds, and lives"
if begin "$name"; then case_changed "$name" 0; fi

check "the orders over the whole run ($((($(now_ms) - test_began) / 1000)) s, $(order_count) orders)"
for i in 1 2 3; do
  down=$(jq -rs '[range(1; length) as $i | select(.[$i].fencing_token < ([.[range($i)].fencing_token] | max))
    | "\(.[$i].at_ms) \(.[$i].holder) \(.[$i].fencing_token)"] | .[]' "$dir/orders-$i")
  [ -z "$down" ] || fail "engine-$i: $(wc -l <<<"$down") orders with a lower token, the first: $(head -1 <<<"$down")"
done
shared=$(orders | jq -cs 'group_by(.fencing_token) | map({token: .[0].fencing_token, holders: ([.[].holder] | unique)})
  | map(select(.holders | length > 1)) | .[]')
[ -z "$shared" ] || fail "tokens of two holders: $shared"
early=$(orders | jq -cs --argjson ms $handover_ms 'sort_by(.at_ms) | [range(1; length) as $i
  | select(.[$i].holder != .[$i - 1].holder and .[$i].at_ms - .[$i - 1].at_ms < $ms)
  | [.[$i - 1], .[$i] | {at_ms, holder, fencing_token}]] | .[]')
[ -z "$early" ] || fail "$(wc -l <<<"$early") times less than $handover_ms ms between two holders, the first: $(head -1 <<<"$early")"
for log in "$dir"/h?*.log; do
  count=$(grep -c store.record_refused "$log" || true)
  [ "$count" -le $((refusals_per_step * steps)) ] || fail "$(basename "$log"): $count refused records"
  versions=$(sed -n 's/.*"event":"configuration.adopted".*"version":"\?\([0-9]*\).*/\1/p' "$log")
  [ "$versions" = "$(sort -n <<<"$versions")" ] || fail "$(basename "$log"): versions adopted:" $versions
done

[ $wrong = 0 ] || { echo "$wrong checks failed" >&2; exit 1; }
echo "all checks passed"
