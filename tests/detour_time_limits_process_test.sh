#!/usr/bin/env bash
# Guards against requests that get no final response at their route's time limit
# because they are sent over a helping host: one that freezes, one whose runners
# freeze, and one that is behind while a change shortens the limit.
# Usage: detour_time_limits_process_test.sh BUILD_DIR [EARLIER_BUILD_DIR HOST ...]
#   EARLIER_BUILD_DIR  of another version, whose program the hosts named run
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
earlier=${2:-}
earlier_hosts=" ${*:3} "
. tests/process_functions.sh

limit_ms=2000      # of the routes that the configurations add
short_limit_ms=1000
late_ms=500        # that a final response may come after the limit
cut_ms=60000
freeze_ms=4000
detection_ms=3000  # from the begin of a cut until it is judged
wrong=0
fail() { echo "FAILED: $*" >&2; wrong=$((wrong + 1)); }
hosts=(a1 b1 b2)
. tests/configuration_functions.sh

# Like write_configuration, with a route that may run twice and time limits.
write_limits() {  # VERSION TIMEOUT_MS
  write_configuration "$1" new-key counter true "
    (.routes[] | select(.name == \"moved\" or .name == \"added\")).timeout_ms = $2
    | (.routes[] | select(.name == \"added\")) += {route_kind: \"idempotent\", max_attempts: 3}"
}
# Sends requests until a time; logs what is judged, the status and the ms that each took.
time_until() {  # END PATH JUDGED
  local number=0
  while [ "$(now_ms)" -lt "$1" ]; do
    number=$((number + 1))
    curl -s -o /dev/null -w "$3 %{http_code} %{time_total}\n" --max-time $((deadline_ms / 1000)) \
      -H 'Host: provador.example' -H 'Authorization: Bearer new-key' -H "Request-Id: $3-$number-$RANDOM" \
      -H "Deadline-Ms: $deadline_ms" -X POST -d x "http://127.0.0.1:$(port_of a1)$2" >>"$dir/timed" || true
    sleep 0.02
  done
}
# Starts callers of a1 for a time, and waits for them after a command.
judge() {  # NAME MS LIMIT_MS COMMAND ...
  local name=$1 end=$(($(now_ms) + $2)) limit=$3 path senders=()
  shift 3
  for path in /moved/a /added/a /moved/a /added/a /moved/a /added/a /moved/a /added/a; do
    time_until "$end" "$path" "$name" &
    senders+=($!)
  done
  pids+=("${senders[@]}")
  sleep 0.5
  "$@"
  wait "${senders[@]}"
  local all served late slowest
  read -r all served late slowest <<<"$(awk -v name="$name" -v limit=$((limit + late_ms)) '
    $1 == name { all++; ms = 1000 * $3; if ($2 == 200) served++; if (ms > limit) late++; if (ms > most) most = ms }
    END { printf "%d %d %d %d\n", all, served, late, most }' "$dir/timed")"
  echo "  $name: $served of $all served, $late later than the limit allows, the slowest after $slowest ms"
  [ "$all" -gt 0 ] || fail "$name: no request was sent"
  [ "$late" = 0 ] || fail "$name: $late of $all requests got no final response within $((limit + late_ms)) ms"
}
# Stops processes that this test has started, for a time.
freeze() {  # PID ...
  kill -STOP "$@"
  sleep $((freeze_ms / 1000))
  kill -CONT "$@"
}
shorten_unseen() {
  refuse_store $freeze_ms b1 b2
  write_limits 3 $short_limit_ms
}

start_stand_ins
runner_pids=("${pids[@]: -2}")
start_hosts b1 a1 b2
host_pids=("${pids[@]: -3}")
b1_pid=${host_pids[0]}
b2_pid=${host_pids[2]}
write_limits 2 $limit_ms
sleep 3

check "a1 reaches no runner"
cut_from_runners $cut_ms a1
sleep $((detection_ms / 1000))
judge steady 2000 $limit_ms true
served=$(awk '$1 == "steady" && $2 == 200 { n++ } END { print n + 0 }' "$dir/timed")
[ "$served" -gt 0 ] || fail "no request was served over another host"

check "a helping host freezes, then both do"
judge one-freezes $((freeze_ms + 1000)) $limit_ms freeze "$b1_pid"
sleep 2
judge both-freeze $((freeze_ms + 1000)) $limit_ms freeze "$b1_pid" "$b2_pid"
sleep $((detection_ms / 1000))

check "the runners freeze"
judge runners-freeze $((freeze_ms + 1000)) $limit_ms freeze "${runner_pids[@]}"
sleep $((detection_ms / 1000))

check "a change that the helping hosts lack shortens the limit"
judge shortened $((freeze_ms + 1000)) $limit_ms shorten_unseen
judge short $freeze_ms $short_limit_ms freeze "${runner_pids[@]}"

[ $wrong = 0 ] || { echo "$wrong checks failed" >&2; exit 1; }
echo "all checks passed"
