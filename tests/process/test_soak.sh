#!/usr/bin/env bash
# Plays the seeds that are kept: a short run, and each that ever failed.
set -eu
build=$1
seeds=$(dirname "$0")/../soak/seeds.txt
played=0
while read -r seed seconds _; do
  case $seed in '' | '#'*) continue ;; esac
  "$build/fq-soak" "$build" "$seed" "$seconds" </dev/null || {
    echo "FAILED: seed $seed, $seconds s"
    exit 1
  }
  played=$((played + 1))
done <"$seeds"
echo "$played passed, 0 failed"
