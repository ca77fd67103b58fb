#!/usr/bin/env bash
# Guards against an entry of another writer, in the directory of nodes or as a report of a server, that
# ends the nodes which read it, or keeps them from following the others: very deeply nested, with a
# number too large, with a port or an address that is none.
set -eu
# shellcheck source-path=SCRIPTDIR
. "$(dirname "$0")/node_lib.sh"

nested=$(printf '[%.0s' $(seq 9000))

# put_node KEY [VALUE]: writes a row of the directory of nodes.
put_node ()
{
  curl -s -f -o /dev/null "http://$store/v1/rows-tx" -d "{\"precondition\":[],\"put\":[{
    \"table\":\"filbertquay-nodes\",\"part\":\"\",\"key\":\"$1\",
    \"value\":\"$(echo -n "${2:-x}" | base64 -w 0)\"}],\"remove\":[]}" || fail "the store refuses the row '$1'"
}

put_odd_nodes ()
{
  local key
  for key in a '!' '~' 999.1.1.1 127.0.0.300 127.0.0.13:99999 '127.0.0.11 ' 0.0.0.0 255.255.255.255 \
    127.255.255.255 "$(printf '1%.0s' $(seq 200))" 1e400 99999999999999999999 '{}' '[[' '\"' '\\' '\u0001'; do
    put_node "$key"
  done
  put_node nested "$nested"
  put_node number '{"port":99999999999999999999999999}'
}

# A report names the address of the server of machine NUMBER, where nothing else is said.
odd_reports () # NUMBER
{
  local whole="\"address\":\"$(ip "$1"):$server_port\""
  local info='"info":{"service":"back","slots":4}' status='"status":{"state":"ready","sequence":999}'
  echo "$nested"
  echo "{$whole,$info,\"status\":$nested}"
  echo "{$whole,$info,$status,\"more\":$(echo "$nested" | sed 's/\[/{"a":/g')}"
  echo "{$whole,$info,\"status\":{\"state\":\"ready\",\"sequence\":99999999999999999999}}"
  echo "{$whole,$info,\"status\":{\"state\":\"ready\",\"sequence\":1e400}}"
  echo "{$whole,$info,\"status\":{\"state\":\"ready\",\"sequence\":-1}}"
  echo "{$whole,\"born\":99999999999999999999,$info,$status}"
  echo "{\"address\":\"$(ip "$1"):99999\",$info,$status}"
  echo "{\"address\":\"$(ip "$1"):-1\",$info,$status}"
  echo "{\"address\":\"$(ip "$1"):$server_port:1\",$info,$status}"
  printf '\377\376\0\1\n'
}

# Reports with values as large as the pages allow; they say nothing that is used.
large_reports () # NUMBER
{
  local whole="\"address\":\"$(ip "$1"):$server_port\""
  local info='"info":{"service":"back","slots":4}' status='"status":{"state":"ready","sequence":999}'
  echo "{$whole,$info,\"status\":{\"state\":\"ready\",\"sequence\":1,\"warmup_left\":\"1e300s\"}}"
  echo "{$whole,\"info\":{\"service\":\"back\",\"slots\":99999999999},$status}"
  echo "{$whole,\"info\":{\"service\":\"$(printf 'b%.0s' $(seq 3000))\",\"slots\":4},$status}"
}

# post_report CALL NUMBER BODY: a report of a server that isn't there; prints the status.
post_report ()
{
  printf '%s' "$3" | curl -s -o /dev/null -w '%{http_code}' --data-binary @- \
    "http://$(ip "$2"):$reports_port/v1/Instances.$1/i-odd" || true
}

send_odd_reports () # NUMBER
{
  local call body status
  while IFS= read -r body; do
    for call in Heartbeat Deregister; do
      status=$(post_report $call "$1" "$body")
      [ "$call" = Deregister ] || [ "$status" = 400 ] || fail "'${body:0:80}' got $status"
    done
  done < <(odd_reports "$1")
  while IFS= read -r body; do
    status=$(post_report Heartbeat "$1" "$body")
    [ "$status" = 200 ] || fail "'${body:0:80}' got $status"
  done < <(large_reports "$1")
  # The live server's id with a body that can't be read is no deregistration.
  status=$(curl -s -o /dev/null -w '%{http_code}' --data-binary "$nested" \
    "http://$(ip "$1"):$reports_port/v1/Instances.Deregister/i-$1" || true)
  [ "$status" = 400 ] || fail "a deregistration that can't be read got $status"
}

start_store
put_odd_nodes
put_config 1 2s
start_machine 1 front 20
start_machine 2 back 20
wait_for 5 serves_from 1 || fail "the service is not served"
put_odd_nodes
for i in 1 2; do send_odd_reports $i; done
# The nodes follow the store and one another.
put_config 2 2s
start_machine 3 back 20
kill -KILL "$(pid_of m1)"
restart_node 1
for i in 1 2 3; do
  wait_for 5 is_ready $i || fail "node $i is not ready"
  wait_for 5 grep -q 'config-in-force version=2' "$work/m$i.log" || fail "node $i does not follow the configuration"
  kill -0 "$(pid_of "m$i")" || fail "node $i has ended"
done
wait_for 5 grep -q 'event=server-phase .*to=ready' "$work/m3.log" || fail "server 3 is not ready"
# All at once: of idle servers, one that seems faster gets each of single requests.
sent=()
for i in $(seq 20); do
  send 1 "/safe/$i" "after$i" >"$work/status.after$i" &
  sent+=($!)
done
wait "${sent[@]}"
[ "$(served after)" = 100 ] || fail "only $(served after) percent of the requests are answered 200"
for i in 2 3; do
  grep -q '^run after' "$work/s$i.log" || fail "server $i gets no requests"
done
echo "1 passed, 0 failed"
