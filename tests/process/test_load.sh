#!/usr/bin/env bash
# `filbertquay load` gives every attempt one outcome, and its exit status tells failures,
# unreachable targets and wrong arguments apart.
set -eu
# shellcheck source-path=SCRIPTDIR
. "$(dirname "$0")/lib.sh"

start_platform
start_node 1
start_upstream 1 wrekin/tables
wait_for 10 serves 1 tables /ready || fail "the service is not served"
echo "$key" >"$work/key"
node=127.0.0.1:$(caller_port 1)
upstream=127.0.0.1:$(service_port 1)
unused=127.0.0.1:$(service_port 9)
good='name=a,service=tables,path=/t?{n},deadline_ms=1000'

# load EXPECTED-STATUS ARGUMENT...
load ()
{
  local expected=$1 rc=0
  shift
  "$build/filbertquay" load -s 7 -k "$work/key" -o "$work/out.json" "$@" >"$work/load.log" 2>&1 || rc=$?
  [ "$rc" = "$expected" ] || fail "status $rc, expected $expected: load $*"
}

# check_results JQ-CONDITION
check_results ()
{
  jq -e "$1" "$work/out.json" >"$work/jq.log" || fail "condition $1 does not hold for $(jq -c .total "$work/out.json")"
}

load 0 -t "$node" -r 0-200:1,200:1 -c "$good,share=3" \
  -c 'name=post,method=POST,service=tables,path=/u?{n},key=k{n},body_bytes=70000' \
  -c 'name=gone,share=0.5,service=none,path=/n,retry=now,retries=2' --verify
check_results '.total.unaccounted == 0 and .total.requests > 200'
check_results '.classes.a.whole == .classes.a.requests and .classes.post.whole == .classes.post.requests'
check_results '.classes.gone.refused_by_cause["no-service"] == 3 * .classes.gone.requests'
check_results '.total.requests == ([.seconds[].classes[].requests] | add)'
sent=$(jq -c '[.seconds[].classes[].requests]' "$work/out.json")
load 0 -t "$node" -r 0-200:1,200:1 -c "$good,share=3" -c "$good,name=post" -c "$good,name=gone,share=0.5"
[ "$(jq -c '[.seconds[].classes[].requests]' "$work/out.json")" = "$sent" ] || fail "the same seed gave other arrivals"

load 0 -t "$upstream" -r 100:1 -c "$good" --verify
check_results '.total.whole == .total.requests'
load 1 -t "127.0.0.1:$(operator_port 1)" -r 50:1 -c 'name=a,path=/v1/none?{n}' --verify
check_results '.total.wrong == .total.requests'
load 3 -t "$unused" -r 50:1 -c "$good"
check_results '.total.not_sent == .total.attempts'

while read -r arguments; do
  # shellcheck disable=SC2086
  load 2 $arguments
done <<TABLE
-t $node -r 10:1
-t 10.0.0.1:1 -r 10:1 -c $good
-t $node -r 10 -c $good
-t $node -r -1:5 -c $good
-t $node -r 10:4000 -c $good
-t $node -r 10:1 -c share=1
-t $node -r 10:1 -c name=a,path=x
-t $node -r 10:1 -c name=a,retry=always
-t $node -r 10:1 -c name=a,share=0
-t $node -r 10:1 -c name=a,colour=red
TABLE
echo "1 passed, 0 failed"
