#!/usr/bin/env bash
# A server deregisters soon after the node beside it was killed and has started again, before
# its next status report. Counts the requests that reach it later than drain after the ack.
# With TROUBLE=0 the node is not killed.
cd "$(dirname "$0")" || exit 2
# shellcheck source=../standins-2/lib.sh
. ../standins-2/lib.sh
trouble=${TROUBLE:-1}

drain_ms=2000
contact_ms=3000
serves_on_seconds=8 # after the ack: drain, and a little longer

start_store
put_config
start_node 1 front; start_server 1 front 50
start_node 2 back; start_server 2 back 50
start_node 3 back; start_server 3 back 50
for i in 1 2 3; do
  wait_for 10 is_ready $i || cannot_run "node $i is not ready"
  wait_for 10 has_server $i || cannot_run "node $i does not know its server"
done
start load "$actor" load "$(requests 1)" /back/ a 16 40
sleep 3

beats () { grep -c '^beat' "$work/s2.log"; }
next_beat () { [ "$(beats)" -gt "$seen" ]; }
seen=$(beats)
wait_for 4 next_beat || cannot_run "no report of server 2"
started_ms=0
if [ "$trouble" = 1 ]; then
  kill -KILL "${pid[m2]}"
  wait "${pid[m2]}" 2>/dev/null
  mv "$work/m2.log" "$work/m2-before.log"
  sleep 0.2
  started_ms=$(now_ms)
  start_node 2 back
  wait_for 2 has_server 2 || cannot_run "node 2 has not found its server before the next report"
fi
sleep 0.2
echo leave >"$work/s2.in"
sleep $serves_on_seconds
kill -KILL "${pid[s2]}"
sleep 1

ack_ms=$(awk '$1 == "leave" && $2 == 200 { print $3 }' "$work/s2.log")
[ -n "$ack_ms" ] || cannot_run "the deregistration got no ack"
reports_since=$(awk -v from="$started_ms" '$1 == "beat" && $3 > from' "$work/s2.log" | wc -l)
from_ms=$((ack_ms + drain_ms))
[ $((started_ms + contact_ms)) -gt $from_ms ] && from_ms=$((started_ms + contact_ms))
late=$(awk -v from=$from_ms '$1 == "run" && $4 > from' "$work/s2.log" | wc -l)
last=$(awk '$1 == "run" { last = $4 } END { print last + 0 }' "$work/s2.log")
keep s2 s3 load
grep -hE 'event=(start|server-phase|server-start|leave)' "$work"/m2*.log | sed 's/^/m2 /' >>"$record"
{
  echo "node 2 started again at $started_ms; reports of server 2 since then: $([ "$trouble" = 1 ] && echo "$reports_since")"
  echo "the deregistration was acknowledged at $ack_ms; the last request reached the server at $last, $((last - ack_ms)) ms later"
  echo "requests that reached it later than drain after the ack, from machines in touch: $late"
} | tee -a "$record"
[ "$late" -eq 0 ]
