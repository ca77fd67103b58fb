#!/usr/bin/env bash
# Guards against review case 2: in a quiet time a request that crashes the servers which run it was
# never stopped. The servers are down for different times and come back under another id or the
# same; the request comes in at different nodes, and nodes are restarted meanwhile. Requests that ran
# beside a crash are served when they come again.
set -eu
# shellcheck source-path=SCRIPTDIR
. "$(dirname "$0")/node_lib.sh"

work_ms=300
contact_ms=3000 # how long a machine has to be undisturbed before a rule with a time bound holds
crashes_allowed=3
retries_allowed=3

# start_back NUMBER DOWN_MS [same]: a machine whose server starts again DOWN_MS after a crash.
start_back ()
{
  local number=$1
  shift
  write_settings "$number" back
  start "m$number" "$build/filbertquay-node" "$work/m$number.json"
  start "s$number" "$build/fq-standin-server" "$(ip "$number"):$server_port" \
    "$(ip "$number"):$reports_port" back "i-$number" "$work_ms" "$(ip "$number"):$server_port" "$@"
}

crash_times () # PATTERN of the ids
{
  cat "$work"/s[234].log | awk -v ids="$1" '$1 == "crash" && $2 ~ ids { print $3 }' | sort -n
}

# Retries that reached a server later than contact_ms after the third crash.
late_retries () # PATTERN of the ids
{
  crash_times "$1" | awk -v allowed="$crashes_allowed" -v contact="$contact_ms" '
    NR == allowed { third = $1 }
    NR > allowed && $1 > third + contact { late++ }
    END { print late + 0 }'
}

# play_round PREFIX ENTRY TARGET: three requests that must run once, and while they run one that crashes
# its server, at the machine ENTRY. Their statuses go to $work/status.PREFIX*.
play_round ()
{
  local i
  for i in 1 2 3; do
    send "$2" /once/7 "$1-once$i" -X POST -d x >"$work/status.$1-once$i" &
  done
  sleep 0.1
  send "$2" "$3" "$1-crash" >/dev/null &
  sleep 1.2
}

start_store
put_config 1 2s
start_machine 1 front "$work_ms"
start_back 2 40 same
start_back 3 400
start_back 4 2500
start_machine 5 front "$work_ms"
wait_for 5 serves_from 1 || fail "the service is not served"
wait_for 5 serves_from 5 || fail "the service is not served"
sleep 1

# Always at the same node.
for round in $(seq 9); do
  play_round "a$round" 1 /safe/a/crash
done
late=$(late_retries '^a')
echo "crashes: $(crash_times '^a' | wc -l); late retries: $late; of the last round served: $(served a9-once) %"
[ "$late" -le "$retries_allowed" ] || fail "$late late retries of a request that crashes servers"
[ "$(served a9-once)" = 100 ] || fail "requests that ran beside a crash are not served when they come again"

# At two nodes in turn; the nodes beside the servers, and one of the two, are restarted meanwhile.
for round in $(seq 9); do
  play_round "b$round" $((round % 2 * 4 + 1)) /safe/b/crash
  case $round in
    2) restarted=3 ;;
    4) restarted=2 ;;
    5) restarted=5 ;;
    6) restarted=4 ;;
    *) continue ;;
  esac
  kill -KILL "$(pid_of "m$restarted")"
  restart_node "$restarted"
done
late=$(late_retries '^b')
echo "crashes: $(crash_times '^b' | wc -l); late retries: $late; of the last round served: $(served b9-once) %"
[ "$late" -le "$retries_allowed" ] || fail "$late late retries, while nodes were restarted"
[ "$(served b9-once)" = 100 ] || fail "requests that ran beside a crash are not served when they come again"

# What a restarted node says of the request that it refuses.
[ "$(send 5 /safe/b/crash last)" = 503 ] || fail "the request is not refused at a node that was restarted"
[ "$(send 1 /safe/a/other last2)" = 200 ] || fail "another request is refused"
echo "1 passed, 0 failed"
