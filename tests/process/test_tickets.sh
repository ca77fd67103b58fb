#!/usr/bin/env bash
# Tickets on real nodes: they are in force on all nodes within 5 s; a node that restarts while
# the platform is down gets them from the others; a node stopped by SIGSTOP has them after
# SIGCONT; tickets filed at the same time through two nodes both come into force; the number of
# the highest ticket never decreases.
set -eu
# shellcheck source-path=SCRIPTDIR
. "$(dirname "$0")/lib.sh"

nodes="1 2 3 4 5"

# write_ticket ID DEADLINE_MS [EXPECTED]: EXPECTED is the number for the service in "expects".
write_ticket ()
{
  cat >"$work/$1.json" <<JSON
{ "id": "$1", ${3:+"\"expects\": { \"service/tables\": $3 },"}
  "services": { "tables": { "deadline_ms": $2 } } }
JSON
}

# all_at NUMBER: whether that ticket is the highest in force at every node.
all_at ()
{
  local node
  for node in $nodes; do
    [ "$(ticket_number "$node")" = "$1" ] || return 1
  done
}

# file_expecting NODE ID STATUS: files a ticket; it must be answered with STATUS.
file_expecting ()
{
  local status
  status=$(file_ticket "$1" "$work/$2.json" | tail -n 1)
  [ "$status" = "$3" ] || fail "ticket $2 was answered $status instead of $3"
}

start_platform
for node in $nodes; do
  start_node "$node"
  start_upstream "$node" wrekin/tables
done
wait_for 10 all_at 0 || fail "the nodes are not ready"

write_ticket first 100
file_expecting 1 first 201
wait_for 5 all_at 1 || fail "ticket 1 is not in force everywhere after 5 s"

write_ticket second 200
platform_fault '{"drop_answers": 1}'
file_expecting 2 second 201
wait_for 5 all_at 2 || fail "a ticket whose answer was lost is not in force"

write_ticket older 300 1
file_expecting 3 older 409
write_ticket left 400
write_ticket right 500
file_ticket 3 "$work/left.json" >"$work/left.out" &
left=$!
file_ticket 4 "$work/right.json" >"$work/right.out"
wait "$left"
wait_for 5 all_at 4 || fail "two tickets filed at the same time are not both in force"

kill -STOP "$(pid_of n5)"
platform_fault '{"down_ms": 60000}'
kill -KILL "$(pid_of n2)"
wait_for 5 eval "! kill -0 $(pid_of n2)" || fail "the node was not killed"
start_node 2
wait_for 8 eval '[ "$(ticket_number 2)" = 4 ]' || fail "no tickets after a restart while the store is down"
sleep 3
kill -CONT "$(pid_of n5)"
wait_for 8 all_at 4 || fail "a node lost its tickets while it was stopped"
echo "1 passed, 0 failed"
