#!/usr/bin/env bash
# Requests enter at one machine and run at another: each type of route, invalid requests, a new
# configuration, a graceful stop of the entry node with requests in flight, and --check.
set -eu
# shellcheck source-path=SCRIPTDIR
. "$(dirname "$0")/node_lib.sh"

start_store
start_machine 1 front 50
wait_for 5 curl -s -o /dev/null "http://$(ip 1):$ready_port/v1/readiness" || fail "the node does not answer"
is_ready 1 && fail "a node without a configuration reports ready"
[ "$(send 1 /safe/1 early)" = 503 ] || fail "a node without a configuration does not answer 503"
put_config 1 2s
start_machine 2 back 50
start_machine 3 back 50
wait_for 5 is_ready 1 || fail "not ready"
wait_for 5 serves_from 1 || fail "the service is not served"

head -c 200000 /dev/zero >"$work/body"
[ "$(send 1 '/safe/1?a=b' safe)" = 200 ] || fail "a safe request is not answered 200"
[ "$(send 1 /once/1 once -d x)" = 200 ] || fail "an unsafe request is not answered 200"
[ "$(send 1 /upload/1 up --data-binary "@$work/body" -H 'Expect:')" = 200 ] || fail "an upload is not answered 200"
[ "$(send 1 /upload/1 chunks --data-binary "@$work/body" -H 'Transfer-Encoding: chunked')" \
  = 200 ] || fail "a chunked upload is not answered 200"
[ "$(send 1 /other/1 other)" = 404 ] || fail "a path without a route is not answered 404"
[ "$(send 1 /upload/1 large -H 'Expect:' --data-binary "@-" \
  < <(head -c 2000000 /dev/zero))" = 413 ] || fail "a body over the limit is not answered 413"
grep -q '^run once front ' "$work"/s[23].log || fail "the caller is not passed on"
[ "$(cat "$work"/s[23].log | grep -c '^run once ')" = 1 ] || fail "an unsafe request did not run exactly once"

put_config 2 60ms
wait_for 2 eval '[ "$(send 1 /safe/1 short)" = 504 ] || \
  grep -q version=2 "$work/m1.log"' || fail "the new configuration is not in force"
put_config 3 2s
wait_for 2 grep -q 'config-in-force version=3' "$work/m1.log" || fail "version 3 is not in force"

curl -s "http://$(ip 1):$metrics_port/metrics" | grep -q '^fq_config_version 3$' \
  || fail "the metrics lack the version"

for i in $(seq 20); do
  send 1 "/safe/$i" "stop$i" >"$work/status.$i" &
done
sleep 0.02
kill -TERM "$(pid_of m1)"
wait_for 1 eval '! is_ready 1' || fail "a stopping node still reports ready"
wait_for 7 eval "! kill -0 $(pid_of m1)" || fail "the node did not stop"
wait "$(pid_of m1)" || fail "the node ended with status $?"
for i in $(seq 20); do
  wait_for 1 test -s "$work/status.$i" || fail "no status of $i"
  [ "$(cat "$work/status.$i")" = 200 ] || fail "request $i was not answered 200: $(cat "$work/status.$i")"
done
grep -q 'event=end' "$work/m1.log" || fail "the end is not logged"

"$build/filbertquay-node" --check "$work/m1.json" >/dev/null || fail "--check refuses valid settings"
sed 's/"2s"/"two"/; s/"ratio": 0.2/"ratio": -7/' "$work/m1.json" >"$work/bad.json"
"$build/filbertquay-node" --check "$work/bad.json" 2>"$work/faults" && fail "--check accepts invalid settings"
grep -q 'server.drain' "$work/faults" && grep -q 'retries.ratio' "$work/faults" \
  || fail "not all faults are printed: $(cat "$work/faults")"
echo "1 passed, 0 failed"
