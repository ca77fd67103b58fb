#!/usr/bin/env bash
# While the machines start, before the first config is there, a status report of another
# writer, for a service that no config names, reaches the node of a front machine. Counts the
# requests that then run with another X-Caller-Service than that of the machine they began on.
# With TROUBLE=0 that report is not sent.
cd "$(dirname "$0")" || exit 2
# shellcheck source=../standins-2/lib.sh
. ../standins-2/lib.sh
trouble=${TROUBLE:-1}

start_store
for i in 1 2 3; do
  service=back
  [ $i = 1 ] && service=front
  start_node $i $service
  start_server $i $service 50
done
server_reported () { grep -q '^beat 200' "$work/s1.log"; }
wait_for 5 server_reported || cannot_run "server 1 could not report"
sleep 0.5
if [ "$trouble" = 1 ]; then
  now=$(date +%s%3N)
  foreign="{\"address\":\"$(server 1)\",\"born\":$now,\"info\":{\"service\":\"elsewhere\",\"version\":\"v1\",\"zone\":\"z\",\"slots\":104},\"status\":{\"state\":\"ready\",\"sequence\":1,\"warmup_left\":\"0ms\"}}"
  echo "foreign report at $(now_ms): $foreign, status $("$actor" call POST "$(reports 1)" /v1/Instances.Heartbeat/i-foreign "$foreign")" >>"$record"
fi
sleep 0.5
put_config
echo "config at $(now_ms)" >>"$record"
for i in 1 2 3; do
  wait_for 10 is_ready $i || cannot_run "node $i is not ready"
done
for i in 2 3; do
  wait_for 10 has_server $i || cannot_run "node $i does not know its server"
done
sleep 3 # all machines are in touch
start load "$actor" load "$(requests 1)" /back/ a 8 20
wait "${pid[load]}"

runs=$(cat "$work"/s[23].log | awk '$1 == "run"' | wc -l)
wrong=$(cat "$work"/s[23].log | awk '$1 == "run" && $3 != "front"' | wc -l)
keep s1 s2 s3 load
grep -hE 'event=(start|server-phase|server-start|report)' "$work/m1.log" | sed 's/^/m1 /' >>"$record"
{
  echo "requests of the front machine that ran: $runs; with another X-Caller-Service than front: $wrong ($(cat "$work"/s[23].log | awk '$1 == "run" && $3 != "front" { print $3 }' | sort | uniq -c | xargs))"
  echo "status reports of server 1 since the foreign one that were called stale: $(grep -c 'event=report-stale' "$work/m1.log")"
} | tee -a "$record"
[ "$runs" -gt 0 ] || cannot_run "nothing ran"
[ "$wrong" -eq 0 ]
