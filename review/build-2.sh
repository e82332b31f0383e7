#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/6 to review/10 start, the
# project's own ones too, into review/build-2.
set -euo pipefail
cd "$(dirname "$0")/.."
out=review/build-2
mkdir -p "$out"
compile() {  # PROGRAM SOURCE
  g++ -std=c++20 -O1 -Wno-mismatched-new-delete "$2" -o "$out/$1" \
    -ldocopt -lpthread
}
compile fake_store tests/stand_ins/fake_store.cc
compile call review/common-2/call.cc
compile repeating_runner review/common-2/repeating_runner.cc
compile runners review/common-2/runners.cc
