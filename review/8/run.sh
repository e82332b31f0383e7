#!/usr/bin/env bash
# A prompt part crashes runners until it is blocked. Then all hosts are killed
# at once and start again, and requests with the part come once more.
# TROUBLE=0: the hosts are not killed.
set -euo pipefail
cd "$(dirname "$0")/../.."
case_dir=review/8
. review/common-2/functions.sh
. review/common-2/deadly_part.sh
deadly=$part
host_pids=()

start_deployment
note "sound requests for frames-base begin"
sound_requests &
sound_pid=$!
pids+=($sound_pid)
sleep 4
note "first wave"
wave first 14 frames-base
sleep 3
if [ "${TROUBLE:-1}" != 0 ]; then
  note "all hosts are killed"
  for i in $(seq 1 $host_count); do kill -KILL "${host_pids[i]}"; done
  sleep 1
  for i in $(seq 1 $host_count); do start_host "$i" false; done
  await_ready $(seq 1 $host_count)
  note "all hosts are ready"
fi
sleep 8
note "second wave"
wave second 14 frames-base
sleep 3
judge
