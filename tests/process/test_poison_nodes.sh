#!/usr/bin/env bash
# A request that crashes every upstream that runs it is sent repeatedly through all nodes: at
# most two upstreams crash before it is refused, and other requests are still served.
set -eu
# shellcheck source-path=SCRIPTDIR
. "$(dirname "$0")/lib.sh"

start_platform
for index in 1 2 3 4; do
  start_node "$index"
  start_upstream "$index" wrekin/tables crash=/poison service_ms=5
done
for index in 1 2 3 4; do
  wait_for 30 serves "$index" tables /ready || fail "node $index does not serve"
done
# A crash suspicion reaches only nodes that are known to its sender.
knows_all ()
{
  curl -s -m 2 -H "Authorization: Bearer $key" \
    "http://127.0.0.1:$(operator_port "$1")/v1/status" | jq -e '.nodes == 4'
}
for index in 1 2 3 4; do
  wait_for 30 knows_all "$index" || fail "node $index does not know all others"
done

answers=
for attempt in 1 2 3 4 5 6 7 8; do
  node=$(((attempt - 1) % 4 + 1))
  answers="$answers $(request "$node" tables '/poison?release=7' -X GET | tail -n 1)"
done
crashed=0
for index in 1 2 3 4; do
  kill -0 "$(pid_of "u$index")" 2>/dev/null || crashed=$((crashed + 1))
done
echo "upstreams crashed: $crashed; answers:$answers"
[ "$crashed" -ge 1 ] || fail "no upstream crashed, so nothing was tested"
[ "$crashed" -le 2 ] || fail "more than two upstreams crashed"
case $answers in
  *" 422") ;;
  *) fail "the request is not refused" ;;
esac
for index in 1 2 3 4; do
  wait_for 5 serves "$index" tables /other || fail "node $index does not serve other requests"
done
echo "1 passed, 0 failed"
