#!/usr/bin/env bash
# Requests with an idempotency key run at most once: when sent through several nodes at the
# same time, when answers of the store are lost after the write, when a node is stopped between
# claim and send, when nodes and upstreams are killed, and when the platform is down. The
# answers are then compared with the runs that the upstreams logged.
set -eu
# shellcheck source-path=SCRIPTDIR
. "$(dirname "$0")/lib.sh"

# send_release NODE KEY: sends POST /release with the idempotency key KEY through NODE; appends
# "KEY STATUS OUTCOME DIGEST" to $work/answers.
send_release ()
{
  local out status outcome digest
  out=$(mktemp "$work/answer.XXXXXX")
  status=$(curl -s -m 8 -o "$out" -D "$out.headers" -w '%{http_code}' -X POST -d "draft of $2" \
    -H "Authorization: Bearer $key" -H 'fq-service: bulletins' -H "idempotency-key: $2" \
    -H 'fq-deadline-ms: 3000' "http://127.0.0.1:$(caller_port "$1")/release") || status=lost
  outcome=$(sed -n 's/^fq-outcome: \([a-z-]*\).*/\1/p' "$out.headers" 2>/dev/null) || true
  digest=$(sha256sum <"$out" | cut -c1-16)
  echo "$2 $status ${outcome:-none} $digest" >>"$work/answers"
}

# send_releases PREFIX COUNT NODE...: sends each of COUNT keys through all nodes at once.
send_releases ()
{
  local prefix=$1 count=$2 number node asked=()
  shift 2
  for number in $(seq "$count"); do
    for node in "$@"; do
      send_release "$node" "$prefix-$number" &
      asked+=($!)
    done
  done
  wait "${asked[@]}"
}

# outcomes PREFIX: the number of answers by outcome.
outcomes ()
{
  grep "^$1-" "$work/answers" | awk '{ count[$3]++ }
    END { for (outcome in count) printf "%s %d ", outcome, count[outcome] }'
}

# restart_upstream INDEX: keeps the log of the killed process, for the final check.
restart_upstream ()
{
  mv "$work/u$1.log" "$work/u$1-before.log"
  start_upstream "$1" wrekin/bulletins service_ms=100
}

has_ticket ()
{
  local node
  for node in 1 2 3; do
    [ "$(ticket_number "$node")" = 1 ] || return 1
  done
}

ready ()
{
  local node
  for node in 1 2 3; do
    serves "$node" bulletins /ready || return 1
  done
}

start_platform
for index in 1 2 3; do
  start_node "$index"
  start_upstream "$index" wrekin/bulletins service_ms=100
done
wait_for 15 ready || fail "the service is not served"
cat >"$work/ticket.json" <<'JSON'
{ "id": "releases",
  "services": { "bulletins": { "rules": [
    { "method": "POST", "path": "/release", "class": "critical", "once": true } ] } } }
JSON
file_ticket 1 "$work/ticket.json" >"$work/ticket.out"
wait_for 5 has_ticket || fail "the ticket is not in force: $(cat "$work/ticket.out")"

send_releases calm 20 1 2 3
echo "calm: $(outcomes calm)"
[ "$(outcomes calm)" = "whole 60 " ] || fail "not all answered without a fault: $(outcomes calm)"

platform_fault '{"drop_share": 0.2}'
send_releases dropped 15 1 2 3
platform_fault '{"drop_share": 0}'
echo "answers dropped: $(outcomes dropped)"
sleep 2.5

platform_fault '{"delay_ms": 300}'
send_releases paused 10 1 2 &
sleep 0.2
kill -STOP "$(pid_of n1)"
sleep 4
kill -CONT "$(pid_of n1)"
wait "$!"
platform_fault '{"delay_ms": 0}'
sleep 1
send_releases paused 10 2 3
echo "node stopped: $(outcomes paused)"

send_releases killed 10 1 2 &
sleep 0.15
kill -KILL "$(pid_of n3)"
kill -KILL "$(pid_of u2)"
wait "$!"
start_node 3
restart_upstream 2
wait_for 15 ready || fail "the service is not served after the restart"
wait_for 15 has_ticket || fail "the restarted node has no ticket"
send_releases killed 10 1 2 3
echo "node and upstream killed: $(outcomes killed)"

platform_fault '{"down_ms": 6000}'
send_releases down 10 1 2 3
send_releases refused 10 1 2 3
echo "platform silent, at first: $(outcomes down)"
echo "platform silent, later: $(outcomes refused)"
sleep 6
send_releases refused 10 1 2 3
echo "platform back: $(outcomes refused)"

grep -h '^run ' "$work"/u*.log >"$work/runs" || fail "nothing ran"
awk -v answers="$work/answers" '
  FILENAME != answers { if ($2 != "-") runs[$2]++; next }
  { asked[$1] = 1 }
  $3 != "not-run" { maybe[$1] = 1 }
  $3 == "whole" && $2 == 200 && $1 in digest && digest[$1] != $4 { print "other bytes for", $1; bad = 1 }
  $3 == "whole" && $2 == 200 { digest[$1] = $4; whole[$1] = 1 }
  END {
    for (key in runs) if (runs[key] > 1) { print key, "ran", runs[key], "times"; bad = 1 }
    for (key in asked) {
      if (!(key in maybe) && runs[key] > 0) { print key, "ran, but all answers say not-run"; bad = 1 }
      if (key in whole && runs[key] != 1) { print key, "was answered but did not run"; bad = 1 }
      keys++
      if (runs[key] == 1) once++
    }
    print keys, "keys,", once, "ran once, none twice"
    exit bad
  }' "$work/runs" "$work/answers" || fail "the answers and the logged runs do not agree"
