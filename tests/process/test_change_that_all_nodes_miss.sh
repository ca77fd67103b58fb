#!/usr/bin/env bash
# Guards against review/8, on a related path: a short silence of the store swallows a change for all nodes, and
# in a quiet time they act on the old configuration until one of them happens to read again.
set -euo pipefail
. "$(dirname "$0")/node_lib.sh"

nodes=6
rounds=5
proxy="$(ip 1):$((base + 8))"
contact_seconds=3

# put_service VERSION SERVICE: /once/ of host h goes to SERVICE.
put_service ()
{
  local document service services=''
  for service in front even odd; do
    services+="{\"name\":\"$service\",\"health_path\":\"/health\",\"max_connections\":50},"
  done
  document="{\"version\":$1,\"services\":[${services%,}],"
  document+="\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":$max_body_bytes,"
  document+="\"header_timeout\":\"1s\",\"idle_timeout\":\"10s\"},"
  document+="\"virtual_hosts\":[{\"host\":\"h\",\"paths\":[{\"name\":\"r\",\"prefix\":\"/once/\","
  document+="\"route_type\":\"unsafe\",\"timeout\":\"2s\",\"target_latency\":\"1s\",\"max_attempts\":2,"
  document+="\"priority\":1,\"service\":\"$2\"}]}]}"
  curl -s -f -o /dev/null "http://$direct/v1/rows-tx" -d "{\"precondition\":[],\"put\":[{
    \"table\":\"op\",\"part\":\"\",\"key\":\"config\",
    \"value\":\"$(echo -n "$document" | base64 -w 0)\"}],\"remove\":[]}"
}
service_of () { if [ $(($1 % 2)) = 0 ]; then echo even; else echo odd; fi; }
is_served_once () { [ "$(send 1 /once/1 "first-$((++sent))" -X POST)" = 200 ]; }
knows_all () { [ "$(curl -s "http://$(ip "$1"):$metrics_port/metrics" | sed -n 's/^fq_gates_up //p')" = $((nodes - 1)) ]; }
sent=0

start_store
direct=$store
put_service 1 odd
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
  wait_for 10 knows_all "$i" || fail "node $i does not know the others"
done
wait_for 10 is_served_once || fail "the service is not served"

for version in $(seq 2 $((rounds + 1))); do
  sleep "$version.$((version * 37 % 10))"
  echo silence >"$work/proxy.in"
  sleep 0.3
  put_service "$version" "$(service_of "$version")"
  sleep 0.3
  echo pass >"$work/proxy.in"
  sleep $contact_seconds
  for i in $(seq $nodes); do
    [ "$(send "$i" /once/1 "v$version-$i" -X POST)" = 200 ] || fail "request $i of version $version is not served"
  done
done
for version in $(seq 2 $((rounds + 1))); do
  log=$work/s2.log
  [ "$(service_of "$version")" = even ] && log=$work/s3.log
  old=$(grep -c "^run v$version-" "$log" || true)
  [ "$old" = 0 ] || fail "$old of $nodes requests ran at the service before version $version"
done
