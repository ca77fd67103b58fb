#!/usr/bin/env bash
# Guards against review/13: a name, host, path or id that is longer than some buffer. Every one of them is
# long here, the requests are served, and what servers get is whole.
set -euo pipefail
. "$(dirname "$0")/node_lib.sh"

# long PREFIX COUNT: PREFIX, continued to COUNT characters.
long () { printf '%s%0*d' "$1" $(($2 - ${#1})) 7; }

front=$(long front- 300)
back=$(long "back office, " 300)
zone=$(long zone- 90)
host=$(long h 280).example
prefix=/$(long p 1500)/
health=/$(long health 1300)
server_id=$(long i- 180)
request_id=$(long r- 400)

# put_names VERSION SERVICE: one route to SERVICE.
put_names ()
{
  local document
  document="{\"version\":$1,\"services\":["
  document+="{\"name\":\"$front\",\"health_path\":\"$health\",\"max_connections\":50},"
  document+="{\"name\":\"$back\",\"health_path\":\"$health\",\"max_connections\":50}],"
  document+="\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":$max_body_bytes,"
  document+="\"header_timeout\":\"1s\",\"idle_timeout\":\"10s\"},"
  document+="\"virtual_hosts\":[{\"host\":\"$host\",\"paths\":[{\"name\":\"$(long "route of " 500)\","
  document+="\"prefix\":\"$prefix\",\"route_type\":\"unsafe\",\"timeout\":\"2s\","
  document+="\"target_latency\":\"1s\",\"max_attempts\":2,\"priority\":1,\"service\":\"$2\"}]}]}"
  curl -s -f -o /dev/null "http://$store/v1/rows-tx" -d "{\"precondition\":[],\"put\":[{
    \"table\":\"op\",\"part\":\"\",\"key\":\"config\",
    \"value\":\"$(echo -n "$document" | base64 -w 0)\"}],\"remove\":[]}"
}

# start_long NUMBER SERVICE
start_long ()
{
  write_settings "$1" "$2"
  sed -i "s/\"zone\": \"z\"/\"zone\": \"$zone\"/; s/\"node\": \"m/\"node\": \"$(long n 70)/" "$work/m$1.json"
  start "m$1" "$build/filbertquay-node" "$work/m$1.json"
  start "s$1" "$build/fq-standin-server" "$(ip "$1"):$server_port" "$(ip "$1"):$reports_port" "$2" \
    "$server_id$1" 5
}

# send_long ID: an unsafe request at machine 1; prints the status.
send_long ()
{
  curl -s -o "$work/answer" -w '%{http_code}' -X POST -H "Host: $host" -H "X-Attempt-Id: $1" \
    -H 'X-Timeout-Ms: 5000' "http://$(ip 1):$requests_port${prefix}x"
}
is_served () { [ "$(send_long "$request_id-$((++sent))")" = 200 ]; }
sent=0

start_store
put_names 1 "$back"
start_long 1 "$front"
start_long 2 "$back"
wait_for 10 is_served || fail "the service with the long name is not served"
[ "$(send_long "$request_id")" = 200 ] || fail "a request is not served"
grep -q "^run $request_id $front " "$work/s2.log" || fail "the server got another id or caller"
# The log has the beginning of the id, and the outcome.
grep -q "event=request-end id=${request_id:0:200} .* outcome=answered status=200" "$work/m1.log" \
  || fail "the log does not tell what became of the request"
explained=$("$build/filbertquay" explain "$request_id" "$work"/m[12].log) || fail "explain does not find the request"
grep -q "^outcome: answered, status 200, .* from node $(long n 70)1$" <<<"$explained" \
  || fail "explain does not tell what became of the request at which node"
! grep -q '^missing:' <<<"$explained" || fail "explain takes the log of the other node for missing"
# A change of the same document is put in force, and the long name of the other service is found.
put_names 2 "$front"
sleep 1
[ "$(send_long "$request_id-moved")" = 200 ] || fail "the moved route is not served"
grep -q "^run $request_id-moved " "$work/s1.log" || fail "the moved route is run by the old service"
