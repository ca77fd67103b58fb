#!/usr/bin/env bash
# An upstream drains while all nodes lose a fifth of the datagrams: after three seconds no new
# request reaches it, and no request fails meanwhile.
set -eu
# shellcheck source-path=SCRIPTDIR
. "$(dirname "$0")/lib.sh"

test_faults='{ "drop_received_percent": 20 }'
start_platform
for index in 1 2 3 4; do
  start_node "$index"
done
# The stand-in of n1 announces itself to port 9, where no node listens. It is announced once
# with curl, so that no later announcement ends the drain.
start_upstream 1 wrekin/tables node=9 service_ms=30
wait_for 10 curl -s -f -m 2 -o /dev/null -d '' "http://127.0.0.1:$(upstream_port 1)/fq/announce?service=wrekin/tables&address=127.0.0.1:$(service_port 1)&incarnation=1&slots=16&connections=100"
start_upstream 2 wrekin/tables service_ms=30
start_upstream 3 wrekin/regions
for index in 3 4; do
  wait_for 30 serves "$index" tables /ready || fail "n$index does not serve tables"
done

runs_of () { grep -c '^run' "$work/u$1.log" || true; }
# uses_both INDEX: whether node INDEX sends requests to both upstreams. When datagrams are lost
# it may know one of them seconds before the other. The requests are sent at the same time,
# since a single one goes to the nearer upstream.
uses_both ()
{
  local request asked=()
  for request in 1 2 3 4 5 6 7 8; do
    serves "$1" tables "/known$1/$request" &
    asked+=($!)
  done
  wait "${asked[@]}"
  grep -q "/known$1" "$work/u1.log" && grep -q "/known$1" "$work/u2.log"
}
for index in 3 4; do
  wait_for 30 uses_both "$index" || fail "n$index does not use both upstreams"
done

curl -s -m 2 -o /dev/null -d '' "http://127.0.0.1:$(upstream_port 1)/fq/drain"
until_time=$((SECONDS + 3))
while [ "$SECONDS" -lt "$until_time" ]; do
  serves 3 tables /during || fail "a request failed while the upstream drained"
done
before=$(runs_of 1)
for _ in $(seq 50); do
  serves 3 tables /after && serves 4 tables /after || fail "a request failed after the drain"
done
[ "$(runs_of 1)" = "$before" ] || fail "the drained upstream ran new requests"
echo "1 passed, 0 failed"
