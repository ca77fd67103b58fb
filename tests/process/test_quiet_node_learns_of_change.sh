#!/usr/bin/env bash
# Guards against review/8: a node that the store does not answer acts on an old configuration in a quiet time,
# since the nodes that tell it of changes stand still and are then killed.
set -euo pipefail
. "$(dirname "$0")/node_lib.sh"

nodes=8
proxy="$(ip 1):$((base + 8))"
contact_seconds=3

is_served_once () { [ "$(send 1 /once/1 "first-$((++sent))" -X POST)" = 200 ]; }
sent=0

start_store
put_route 1 old new front
mkfifo "$work/proxy.in"
"$build/fq-standin-proxy" "$proxy" "$store" <>"$work/proxy.in" >"$work/proxy.log" 2>&1 &
pids+=($!)
for i in $(seq $nodes); do
  service=front
  [ "$i" = 2 ] && service=old
  [ "$i" = 3 ] && service=new
  if [ "$i" = 1 ]; then
    direct=$store
    store=$proxy
    start_machine 1 $service 5
    store=$direct
  else
    start_machine "$i" $service 5
  fi
done
for i in $(seq $nodes); do
  wait_for 10 knows "$i" $((nodes - 1)) || fail "node $i does not know the others"
done
wait_for 10 is_served_once || fail "the service is not served"

echo silence >"$work/proxy.in"
# The two nodes that come before node 1 in the order of addresses.
kill -STOP "$(pid_of m$nodes)" "$(pid_of m$((nodes - 1)))"
sleep 0.5
put_route 2 new old front
kill -KILL "$(pid_of m$nodes)" "$(pid_of m$((nodes - 1)))"
sleep $contact_seconds
for i in $(seq 20); do
  [ "$(send 1 /once/1 "later-$i" -X POST)" = 200 ] || fail "request $i after the change is not served"
done
old=$(grep -c '^run later-' "$work/s2.log" || true)
[ "$old" = 0 ] || fail "$old of 20 requests ran at the old service"
