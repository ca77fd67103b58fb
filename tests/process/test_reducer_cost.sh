#!/usr/bin/env bash
# The instructions of one request must not grow with the number of nodes in the
# membership view.
set -eu
if nm "$1/fq-bench-reducer" | grep -q __asan_init; then
  echo "1 passed, 0 failed (built with sanitizers: nothing to count)"
  exit 0
fi
BUILD=$1 "$(dirname "$0")/../../script/bench" cost
echo "1 passed, 0 failed"
