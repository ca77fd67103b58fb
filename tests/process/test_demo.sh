#!/usr/bin/env bash
# script/demo accounts for every request, and stops all processes gracefully.
set -eu
output=$(BUILD=$1 SKIP_BUILD=1 SECONDS_OF_LOAD=3 "$(dirname "$0")/../../script/demo") \
  || { echo "$output"; exit 1; }
for line in 'every request is accounted for' 'every process stopped gracefully' '"unaccounted": 0' \
  'wrekin/bulletins  .*critical ' 'wrekin/tables  .*lookup ' 'added by the nodes to a lookup' 'Missing: '; do
  grep -q "$line" <<<"$output" || { echo "no '$line' in: $output"; exit 1; }
done
echo "1 passed, 0 failed"
