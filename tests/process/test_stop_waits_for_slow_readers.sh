#!/usr/bin/env bash
# Guards against review case 3: a node that was stopped ended before its clients had read their
# answers, which were cut. A client that reads hardly anything does not keep it from ending by itself
# before it would be killed.
set -eu
# shellcheck source-path=SCRIPTDIR
. "$(dirname "$0")/node_lib.sh"

large_bytes=12000000
grace_ms=6000 # limits.grace of the settings

now_ms () { date +%s%3N; }

# read_slowly NUMBER ID BYTES_PER_S [FIELD]: writes how much of the answer the client got.
read_slowly ()
{
  local number=$1
  shift
  "$build/fq-standin-slow_reader" "$(ip "$number"):$requests_port" /safe/large "$@" >"$work/got.$1" || true
}

# stop_after SECONDS NUMBER: ends when the node has ended; $ended_ms is how long that took.
stop_after ()
{
  local begun
  sleep "$1"
  begun=$(now_ms)
  kill -TERM "$(pid_of "m$2")"
  wait "$(pid_of "m$2")" || fail "the node ends with status $?"
  ended_ms=$(($(now_ms) - begun))
}

start_store
put_config 1 2s
start_machine 1 front 20
start_machine 2 back 20
wait_for 5 serves_from 1 || fail "the service is not served"

# 4 s at this rate. The node is stopped early, late, or while the answer is on its way to it.
for delay in 0.02 0.4 1.5; do
  read_slowly 1 "slow$delay" 3000000 &
  slow=$!
  read_slowly 1 "closing$delay" 3000000 'Connection: close' &
  closing=$!
  stop_after "$delay" 1
  wait "$slow" "$closing"
  restart_node 1
  for id in "slow$delay" "closing$delay"; do
    [ "$(cat "$work/got.$id")" = "$large_bytes" ] \
      || fail "stopped after $delay s: client $id got $(cat "$work/got.$id") of $large_bytes bytes"
  done
  echo "stopped after $delay s: all clients have their answers; the node ended in $ended_ms ms"
  wait_for 5 serves_from 1 || fail "the service is not served"
done

# Without a stop, a client may read for longer than 5 s.
read_slowly 1 long 1700000 'Connection: close'
[ "$(cat "$work/got.long")" = "$large_bytes" ] || fail "a slow client got $(cat "$work/got.long") bytes"

# A client that reads hardly anything.
start stuck "$build/fq-standin-slow_reader" "$(ip 1):$requests_port" /safe/large stuck 1000
stop_after 0.5 1
[ "$ended_ms" -lt "$grace_ms" ] || fail "the node took $ended_ms ms to end"
grep -q 'event=stopped .*output_pending=1' "$work/m1.log" || fail "the node does not say what it left"
echo "with a client that does not read, the node ended in $ended_ms ms"
echo "1 passed, 0 failed"
