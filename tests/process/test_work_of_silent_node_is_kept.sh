#!/usr/bin/env bash
# The node beside a server stands still for a while, and then the node where the requests began: work
# that must run once is neither given up nor run again, and its answers are delivered.
set -eu
# shellcheck source-path=SCRIPTDIR
. "$(dirname "$0")/node_lib.sh"

start_store
put_config 1 4s
start_machine 1 front 20
start_machine 2 back 1000
start_machine 3 back 1000
wait_for 5 serves_from 1 || fail "the service is not served"

all_run () # PREFIX
{
  [ "$(cat "$work"/s[23].log | grep -c "^run $1[0-9]")" = 20 ]
}

# freeze PREFIX PID...: twenty requests; when all are at their servers, these nodes stand still for 1.6 s.
freeze ()
{
  local prefix=$1 i pids_sent=()
  shift
  for i in $(seq 20); do
    send 1 "/once/$prefix$i" "$prefix$i" -d x >"$work/status.$prefix$i" &
    pids_sent+=($!)
  done
  wait_for 4 all_run "$prefix" || fail "not all twenty requests reach a server"
  kill -STOP "$@"
  sleep 1.6
  kill -CONT "$@"
  wait "${pids_sent[@]}"
  for i in $(seq 20); do
    [ "$(cat "$work/status.$prefix$i")" = 200 ] || fail "request $prefix$i was answered $(cat "$work/status.$prefix$i")"
    [ "$(cat "$work"/s[23].log | grep -c "^run $prefix$i ")" = 1 ] || fail "request $prefix$i did not run exactly once"
  done
}

freeze gates "$(pid_of m2)" "$(pid_of m3)"
sleep 1
freeze entry "$(pid_of m1)"
grep -q 'event=attempt-retired' "$work/m1.log" || fail "no connection was retired"
echo "1 passed, 0 failed"
