#!/usr/bin/env bash
# Guards against requests that reach a stopping node late, are passed on, and are cut without an answer
# at the end of the grace. Clients go on sending on open and on new connections until the process is gone.
set -eu
# shellcheck source-path=SCRIPTDIR
. "$(dirname "$0")/node_lib.sh"

before_ms=600
late_ms=7000 # clients go on for so long after the signal: longer than the grace

# send_once MACHINE ID TARGET: "ID STATUS CURL_RESULT" goes to $work/late.
send_once ()
{
  local status result=0
  status=$(send "$1" "$3" "$2" -m 6) || result=$?
  echo "$2 $status $result" >>"$work/late"
}

# send_on_one_connection MACHINE ID TARGET: twelve requests, as far as the node keeps it.
send_on_one_connection ()
{
  local i arguments=()
  for i in $(seq 12); do
    arguments+=(--next -s -o /dev/null -w "$2-$i %{http_code} %{exitcode}\n" -H 'Host: h' -m 6
      -H "X-Attempt-Id: $2-$i" -H 'X-Timeout-Ms: 5000' "http://$(ip "$1"):$requests_port$3")
  done
  curl "${arguments[@]:1}" >>"$work/late" || true
}

# send_all_along WORK_MS MACHINE: clients of machines 1 and 4 send requests for as long as the stop of
# MACHINE takes and longer; those of the stopped one don't heed its readiness.
send_all_along ()
{
  local begun i=0 sent=() machine
  begun=$(date +%s%3N)
  while [ $(($(date +%s%3N) - begun)) -lt $((before_ms + late_ms)) ]; do
    i=$((i + 1))
    for machine in 1 4; do
      send_once "$machine" "safe-$1-$2-$machine-$i" /safe/1 &
      sent+=($!)
      send_once "$machine" "once-$1-$2-$machine-$i" /once/1 &
      sent+=($!)
    done
    if [ $((i % 10)) = 5 ]; then
      send_on_one_connection 1 "kept-$1-$2-$i" /once/1 &
      sent+=($!)
    fi
    sleep 0.06
  done
  wait "${sent[@]}"
}

stop_under_requests () # WORK_MS MACHINE
{
  local sender
  : >"$work/late"
  send_all_along "$@" &
  sender=$!
  sleep "$(awk "BEGIN { print $before_ms / 1000 }")"
  kill -TERM "$(pid_of "m$2")"
  wait "$(pid_of "m$2")" || fail "the node ends with status $?"
  wait "$sender"
  check "$@"
}

# No request that a server ran lacks its answer, and none is cut after it was accepted: curl's 52 and 56.
check ()
{
  local unanswered cut
  cat "$work"/s[1-4].log | awk '$1 == "run" { print $2 }' | sort -u >"$work/ran"
  unanswered=$(awk 'NR == FNR { ran[$1]; next } $1 in ran && $2 !~ /^200$/ { print $1 ":" $2 }' \
    "$work/ran" "$work/late" | xargs)
  cut=$(awk '$3 == 52 || $3 == 56 { print $1 ":" $3 }' "$work/late" | xargs)
  echo "work of $1 ms, node $2 stopped: $(wc -l <"$work/late") requests, $(grep -c ' 200 ' "$work/late") answered 200," \
    "$(grep -c ' 503 ' "$work/late") 503; ran without their answer: ${unanswered:-none}; cut: ${cut:-none}"
  [ -z "$unanswered" ] || fail "requests that ran got no answer of the server"
  [ -z "$cut" ] || fail "requests were cut"
}

for work_ms in 20 1500; do
  start_two_fronts_and_backs "$work_ms"
  put_config 2 5s
  stop_under_requests "$work_ms" 1
  restart_node 1
  wait_for 5 serves_from 1 || fail "the service is not served"
  stop_under_requests "$work_ms" 2
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  pids=()
done
echo "1 passed, 0 failed"
