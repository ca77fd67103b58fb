#!/usr/bin/env bash
# Guards against review/8: a node that the store does not answer acts on an old configuration in a quiet time,
# since the nodes that tell it of changes stand still and are then killed.
set -euo pipefail
. "$(dirname "$0")/node_lib.sh"

nodes=8
proxy="$(ip 1):$((base + 8))"
contact_seconds=3

# put_service VERSION SERVICE: /once/ of host h goes to SERVICE.
put_service ()
{
  local document service services=''
  for service in front old new; do
    services+="{\"name\":\"$service\",\"health_path\":\"/health\",\"max_connections\":50},"
  done
  document="{\"version\":$1,\"services\":[${services%,}],"
  document+="\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":$max_body_bytes,"
  document+="\"header_timeout\":\"1s\",\"idle_timeout\":\"10s\"},"
  document+="\"virtual_hosts\":[{\"host\":\"h\",\"paths\":[{\"name\":\"r\",\"prefix\":\"/once/\","
  document+="\"route_type\":\"unsafe\",\"timeout\":\"2s\",\"target_latency\":\"1s\",\"max_attempts\":2,"
  document+="\"priority\":1,\"service\":\"$2\"}]}]}"
  curl -s -f -o /dev/null "http://$store/v1/rows-tx" -d "{\"precondition\":[],\"put\":[{
    \"table\":\"op\",\"part\":\"\",\"key\":\"config\",
    \"value\":\"$(echo -n "$document" | base64 -w 0)\"}],\"remove\":[]}"
}
is_served_once () { [ "$(send 1 /once/1 "first-$((++sent))" -X POST)" = 200 ]; }
knows_all () { [ "$(curl -s "http://$(ip "$1"):$metrics_port/metrics" | sed -n 's/^fq_gates_up //p')" = $((nodes - 1)) ]; }
sent=0

start_store
put_service 1 old
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
  wait_for 10 knows_all "$i" || fail "node $i does not know the others"
done
wait_for 10 is_served_once || fail "the service is not served"

echo silence >"$work/proxy.in"
# The two nodes that come before node 1 in the order of addresses.
kill -STOP "$(pid_of m$nodes)" "$(pid_of m$((nodes - 1)))"
sleep 0.5
put_service 2 new
kill -KILL "$(pid_of m$nodes)" "$(pid_of m$((nodes - 1)))"
sleep $contact_seconds
for i in $(seq 20); do
  [ "$(send 1 /once/1 "later-$i" -X POST)" = 200 ] || fail "request $i after the change is not served"
done
old=$(grep -c '^run later-' "$work/s2.log" || true)
[ "$old" = 0 ] || fail "$old of 20 requests ran at the old service"
