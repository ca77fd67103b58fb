#!/usr/bin/env bash
# Guards against review/8, on a related path: a short silence of the store swallows a change for all nodes, and
# in a quiet time they act on the old configuration until one of them happens to read again.
set -euo pipefail
. "$(dirname "$0")/node_lib.sh"

nodes=6
rounds=5
proxy="$(ip 1):$((base + 8))"
contact_seconds=3

is_served_once () { [ "$(send 1 /once/1 "first-$((++sent))" -X POST)" = 200 ]; }
sent=0

start_store
direct=$store
put_route 1 odd even front
mkfifo "$work/proxy.in"
"$build/fq-standin-proxy" "$proxy" "$direct" <>"$work/proxy.in" >"$work/proxy.log" 2>&1 &
pids+=($!)
store=$proxy
for i in $(seq $nodes); do
  service=front
  [ "$i" = 2 ] && service=even
  [ "$i" = 3 ] && service=odd
  start_machine "$i" $service 5
done
for i in $(seq $nodes); do
  wait_for 10 knows "$i" $((nodes - 1)) || fail "node $i does not know the others"
done
wait_for 10 is_served_once || fail "the service is not served"

for version in $(seq 2 $((rounds + 1))); do
  sleep "$version.$((version * 37 % 10))"
  echo silence >"$work/proxy.in"
  sleep 0.3
  services=(odd even)
  [ $((version % 2)) = 0 ] && services=(even odd)
  store=$direct put_route "$version" "${services[@]}" front
  sleep 0.3
  echo pass >"$work/proxy.in"
  sleep $contact_seconds
  for i in $(seq $nodes); do
    [ "$(send "$i" /once/1 "v$version-$i" -X POST)" = 200 ] || fail "request $i of version $version is not served"
  done
done
for version in $(seq 2 $((rounds + 1))); do
  log=$work/s2.log
  [ $((version % 2)) = 0 ] && log=$work/s3.log
  old=$(grep -c "^run v$version-" "$log" || true)
  [ "$old" = 0 ] || fail "$old of $nodes requests ran at the service before version $version"
done
