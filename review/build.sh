#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into review/build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/build
compile() {  # OUTPUT SOURCE [OPTION ...]
  local output=$1 source=$2
  shift 2
  g++ -std=c++20 -O2 -pthread -Itests/stand_ins "$source" -o \
    "review/build/$output" "$@"
}
compile fake_store tests/stand_ins/fake_store.cc -ldocopt &
jobs=($!)
for source in review/[1-5]/case.cc; do
  [ -e "$source" ] || continue
  compile "case_$(basename "$(dirname "$source")")" "$source" &
  jobs+=($!)
done
for job in "${jobs[@]}"; do wait "$job"; done
