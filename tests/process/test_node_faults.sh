#!/usr/bin/env bash
# Kills, a store that is away and a whole restart without it; at-most-once is checked from
# what the servers ran.
set -eu
# shellcheck source-path=SCRIPTDIR
. "$(dirname "$0")/node_lib.sh"

start_store
put_config 5 2s
start_machine 1 front 30
start_machine 2 back 30
start_machine 3 back 30
wait_for 5 serves_from 1 || fail "the service is not served"

# A node is killed under load: what may run again is answered, nothing else runs twice.
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

# The node is back beside its running server, and serves before the server's next report.
restart_node 2
wait_for 3 grep -q 'event=server-phase.*to=ready' "$work/m2.log" || fail "not back"

# With the store away requests go on, and a node that starts learns all from the others.
kill -USR1 "$(pid_of store)"
[ "$(send 1 /safe/away away)" = 200 ] || fail "not served with the store away"
kill -KILL "$(pid_of m1)"
restart_node 1
wait_for 3 serves_from 1 || fail "a new node does not serve with the store away"
grep -q 'config-in-force version=5' "$work/m1.log" || fail "no configuration from the others"
grep -q 'event=store-lost' "$work/m1.log" || fail "the lost store is not logged"
kill -USR1 "$(pid_of store)"
wait_for 4 grep -q 'event=store-regained' "$work/m1.log" || fail "the store is not regained"

# A server that leaves gets nothing after its drain.
kill -TERM "$(pid_of s3)"
sleep 2.5
before=$(grep -c '^run' "$work/s3.log" || true)
for i in $(seq 20); do
  [ "$(send 1 "/safe/d$i" "drained$i")" = 200 ] || fail "not served by the other"
done
[ "$(grep -c '^run' "$work/s3.log" || true)" = "$before" ] || fail "a drained server ran"
echo "1 passed, 0 failed"
