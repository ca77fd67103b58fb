#!/usr/bin/env bash
# The overloaded bottom of test_chain with more seeds than its own: at most a tenth of the
# work at the top is lost, and at least 95 % of the capacity is answered whole.
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
echo "of $# seeds $(($# - failed)) hold the bound"
[ "$failed" -eq 0 ]
