#!/usr/bin/env bash
# Nodes are killed, the store is unavailable, and a node restarts without it. At-most-once
# execution is checked from the logs of the servers.
set -eu
# shellcheck source-path=SCRIPTDIR
. "$(dirname "$0")/node_lib.sh"

start_store
put_config 5 2s
start_machine 1 front 30
start_machine 2 back 30
start_machine 3 back 30
wait_for 5 serves_from 1 || fail "the service is not served"

# A node is killed under load: safe requests are still answered, unsafe ones run at most once.
for i in $(seq 60); do
  send 1 "/safe/$i" "safe$i" >"$work/safe.$i" &
  send 1 "/once/$i" "once$i" -d x >"$work/once.$i" &
  [ "$i" = 20 ] && kill -KILL "$(pid_of m2)"
  sleep 0.01
done
sleep 2
for i in $(seq 60); do
  [ "$(cat "$work/safe.$i")" = 200 ] || fail "safe $i: $(cat "$work/safe.$i")"
  runs=$(cat "$work"/s[23].log | grep -c "^run once$i " || true)
  status=$(cat "$work/once.$i")
  [ "$runs" -le 1 ] || fail "once $i ran $runs times"
  [ "$status" = 200 ] || [ "$status" = 502 ] || [ "$runs" = 0 ] \
    || fail "once $i was answered $status and ran"
done

# The restarted node uses its running server before the server's next report.
restart_node 2
wait_for 3 grep -q 'event=server-phase.*to=ready' "$work/m2.log" || fail "the server is not ready after the restart"

# With the store unavailable, requests are served, and a restarted node gets its configuration
# from the others.
kill -USR1 "$(pid_of store)"
[ "$(send 1 /safe/away away)" = 200 ] || fail "not served while the store is unavailable"
kill -KILL "$(pid_of m1)"
restart_node 1
wait_for 3 serves_from 1 || fail "a restarted node does not serve while the store is unavailable"
grep -q 'config-in-force version=5' "$work/m1.log" || fail "no configuration from the others"
grep -q 'event=store-lost' "$work/m1.log" || fail "the lost store is not logged"
kill -USR1 "$(pid_of store)"
wait_for 4 grep -q 'event=store-regained' "$work/m1.log" || fail "the connection to the store is not restored"

# A server that shuts down runs nothing after its drain.
kill -TERM "$(pid_of s3)"
sleep 2.5
before=$(grep -c '^run' "$work/s3.log" || true)
for i in $(seq 20); do
  [ "$(send 1 "/safe/d$i" "drained$i")" = 200 ] || fail "not served by the other server"
done
[ "$(grep -c '^run' "$work/s3.log" || true)" = "$before" ] || fail "a drained server ran a request"
echo "1 passed, 0 failed"
