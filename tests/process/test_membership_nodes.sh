#!/usr/bin/env bash
# Six nodes, of which three lose a fifth of all datagrams: all others suspect a killed and a
# stopped node and declare them dead in time, and the stopped one is alive again after SIGCONT.
set -eu
# shellcheck source-path=SCRIPTDIR
. "$(dirname "$0")/lib.sh"

suspect_seconds=15
dead_seconds=40
rejoin_seconds=30

# logged_state NODE OF STATE...: whether the last state of OF that NODE logged is one of these.
logged_state ()
{
  local node=$1 of=$2
  shift 2
  local last
  last=$(grep -o "membership: Node $of is [a-z]*" "$work/$node.log" | tail -n 1)
  local state
  for state in "$@"; do
    [ "${last##* }" != "$state" ] || return 0
  done
  return 1
}

# all_logged_state OF EXCEPT STATE...: the same for all nodes but OF and EXCEPT.
all_logged_state ()
{
  local of=$1 except=$2 index
  shift 2
  for index in 1 2 3 4 5 6; do
    case " $of $except " in *" n$index "*) continue ;; esac
    logged_state "n$index" "$of" "$@" || return 1
  done
}

start_platform
for index in 1 2 3 4 5 6; do
  [ "$index" -le 3 ] && test_faults='{ "drop_received_percent": 20 }' || test_faults='{}'
  start_node "$index" debug
done
for index in 1 2 3 4 5 6; do
  wait_for 60 all_logged_state "n$index" "" alive suspect || fail "n$index is not known to all"
done

kill -STOP "$(pid_of n5)"
kill -KILL "$(pid_of n6)"
wait_for "$suspect_seconds" all_logged_state n6 n5 suspect dead || fail "n6 is not suspected"
wait_for "$suspect_seconds" all_logged_state n5 n6 suspect dead || fail "n5 is not suspected"
wait_for "$dead_seconds" all_logged_state n6 n5 dead || fail "n6 is not declared dead"
wait_for "$dead_seconds" all_logged_state n5 n6 dead || fail "n5 is not declared dead"
kill -CONT "$(pid_of n5)"
wait_for "$rejoin_seconds" all_logged_state n5 n6 alive || fail "n5 is not alive again"
for index in 1 2 3 4; do
  ! grep "membership: Node n[1-4] is dead" "$work/n$index.log" \
    || fail "a running node was declared dead"
done
echo "1 passed, 0 failed"
