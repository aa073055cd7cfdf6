#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3/, after the build of the deploy
# file. Starts no process but the compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f target/libazuregw_core.a ] || { echo "build deploy/system.toml first" >&2; exit 2; }
out=target/review-3
mkdir -p "$out"
flags=(-std=c++17 -O1 -I. -Iinclude -Isrc -DAZUREGW_BINARY="\"$PWD/target/azuregw\"")
shared=(review/stand_ins_3/deployment.cc tests/fakes/platform_store.cc tests/fakes/stand_in_server.cc
  tests/support/process.cc tests/support/hostile_caller.cc)
jobs=()
for source in "${shared[@]}"; do
  g++ "${flags[@]}" -c "$source" -o "$out/$(basename "$source" .cc).o" &
  jobs+=($!)
done
for job in "${jobs[@]}"; do
  wait "$job"
done
libraries=(target/libazuregw_core.a -lcpprest -lglog -lgflags -lssl -lcrypto -lboost_system -lpthread)
for source in review/stand_ins_3/*.cc; do
  name="$(basename "$source" .cc)"
  [ "$name" = deployment ] && continue
  g++ "${flags[@]}" "$source" "$out"/{deployment,platform_store,stand_in_server,process,hostile_caller}.o \
    "${libraries[@]}" -o "$out/$name"
done
