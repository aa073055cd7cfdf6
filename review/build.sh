#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/ start, into target/review/. Needs the build of the
# deploy file (target/) and its packages, and starts nothing.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++17 -O1 -Wall -Iinclude -Isrc -I.)
libraries=(target/libazuregw_core.a -lglog -lgflags -lcrypto -lpthread)
g++ "${flags[@]}" review/stand_in/engine_main.cc -o "$out/review_engine" "${libraries[@]}" &
engine=$!
g++ "${flags[@]}" review/stand_in/cases_main.cc review/stand_in/small_system.cc tests/fakes/platform_store.cc \
  tests/fakes/stand_in_server.cc tests/support/process.cc -o "$out/review_cases" "${libraries[@]}"
wait "$engine"
