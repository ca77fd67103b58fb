#!/usr/bin/env bash
# Runs test_chain with further seeds. Its case of an overloaded service at the bottom of a call
# chain must hold: at most a tenth of the work at the top is lost, and requests worth at least
# 95 % of the capacity are answered.
# Usage: test_chain_seeds.sh BUILD [SEED...]
set -u
build=$1
shift
[ $# -gt 0 ] || set -- 900 901 902 903 904 905 906 907 908 909
failed=0
for seed; do
  FQ_TEST_SEED=$seed "$build/test_chain" >"$build/chain-$seed.txt" 2>&1 || failed=$((failed + 1))
  grep 'overloaded bottom' "$build/chain-$seed.txt" || tail -n 1 "$build/chain-$seed.txt"
done
echo "the bound holds with $(($# - failed)) of $# seeds"
[ "$failed" -eq 0 ]
