#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2/, beside the program that the
# build of the deploy file puts there. Needs no library that that build does not need.
set -eu
cd "$(dirname "$0")/.."
[ -f target/libfilbertquay-node-parts.a ] || { echo "run the build of deploy/system.toml first"; exit 2; }
mkdir -p target/review-2
cc=${CC:-cc}
"$cc" -std=gnu11 -O2 -Wall -Wextra -o target/review-2/actor review/standins-2/actor.c -pthread
"$cc" -std=gnu11 -O2 -Iinclude -Isrc -Iplatform -o target/review-2/store standins/store.c \
  target/libfilbertquay-node-parts.a target/libfilbertquay-mesh.a -lev -lhttp_parser -ljansson \
  -lprotobuf-c -llog4c -lxxhash -lm
"$cc" -std=gnu11 -O2 -Iinclude -Isrc -Iplatform -o target/review-2/proxy standins/proxy.c \
  target/libfilbertquay-node-parts.a target/libfilbertquay-mesh.a -lev -lhttp_parser -ljansson \
  -lprotobuf-c -llog4c -lxxhash -lm
