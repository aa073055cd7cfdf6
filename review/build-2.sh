#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into target/review-2/: the platform with its store and
# engines, from the project's own stand-ins of store and server, and the callers. Needs the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f target/libazuregw_core.a ] || { echo "target/libazuregw_core.a is missing: build deploy/system.toml first" >&2; exit 2; }
out=target/review-2
mkdir -p "$out"
flags=(-std=c++17 -O1 -Wall -Wextra -Wno-unused-parameter -I. -Iinclude -Isrc)
for source in review/stand_ins_2/platform.cc review/stand_ins_2/callers.cc tests/fakes/platform_store.cc \
  tests/fakes/stand_in_server.cc; do
  g++ "${flags[@]}" -c "$source" -o "$out/$(basename "$source" .cc).o" &
  jobs+=($!)
done
for job in "${jobs[@]}"; do wait "$job"; done
g++ "$out"/platform.o "$out"/platform_store.o "$out"/stand_in_server.o target/libazuregw_core.a -lcrypto -lglog -lgflags \
  -lpthread -o "$out/platform"
g++ "$out/callers.o" -lpthread -o "$out/callers"
