#!/usr/bin/env bash
# Runs fq-soak with the seeds of seeds.txt: a short run, and each seed that ever failed.
set -eu
build=$1
seeds=$(dirname "$0")/../soak/seeds.txt
passed=0
while read -r seed seconds _; do
  case $seed in '' | '#'*) continue ;; esac
  "$build/fq-soak" "$build" "$seed" "$seconds" </dev/null || {
    echo "FAILED: seed $seed, $seconds s"
    exit 1
  }
  passed=$((passed + 1))
done <"$seeds"
echo "$passed passed, 0 failed"
