#!/usr/bin/env bash
# Requests fail for many causes; `filbertquay explain` names the cause of each from the logs
# alone.
set -eu
# shellcheck source-path=SCRIPTDIR
. "$(dirname "$0")/node_lib.sh"

checked=0
expected=()

# expect ID CAUSE: checked once all logs are complete.
expect () { expected+=("$1 $2"); }

start_store
start_machine 1 front 30
wait_for 5 curl -s -o /dev/null "http://$(ip 1):$ready_port/v1/readiness" || fail "the node does not answer"
send 1 /safe/1 early >/dev/null
expect early no-config
put_config 1 1s
wait_for 5 is_ready 1 || fail "not ready"
send 1 /safe/1 alone >/dev/null
expect alone no-gate
start_machine 2 back 30
start_machine 3 back 30
wait_for 5 serves_from 1 || fail "the service is not served"
wait_for 5 grep -q 'gate-server.*service=back.*phase=ready' "$work/m1.log" || fail "the gate of the service is not known"
sleep 1

# Both servers are killed while nothing runs; their gates notice when they connect for the request.
kill -KILL "$(pid_of s2)" "$(pid_of s3)"
send 1 /once/1 down -d x >/dev/null
expect down connect
for i in 2 3; do
  start "s$i" "$build/fq-standin-server" "$(ip "$i"):$server_port" "$(ip "$i"):$reports_port" back "i-$i-2" 20
done
wait_for 5 grep -q 'gate-server.*instance=i-2-2 phase=ready' "$work/m1.log" || fail "server 2 is not back"
wait_for 5 grep -q 'gate-server.*instance=i-3-2 phase=ready' "$work/m1.log" || fail "server 3 is not back"

send 1 /nowhere/1 nowhere >/dev/null
expect nowhere no-route
send 1 /once/refuse refused -d x >/dev/null
expect refused server-refused
send 1 /once/drop dropped -d x >/dev/null
expect dropped connection-lost
send 1 /once/unsigned unsigned -d x >/dev/null
expect unsigned broken-answer
send 1 /safe/never never >/dev/null
expect never timeout
send 1 /safe/never left --max-time 0.3 >/dev/null || true
expect left client-gone

# The request is at a gate when its node is killed.
send 1 /once/never lost -d x >"$work/status.lost" &
client=$!
wait_for 1 grep -q '^run lost' "$work/s2.log" "$work/s3.log" || fail "the request did not run"
for i in 2 3; do
  grep -q '^run lost' "$work/s$i.log" && kill -KILL "$(pid_of "m$i")" && lost_node=$i
done
wait "$client" || true
expect lost gate-lost

# All slots of the remaining gate are taken for a second; a further request is refused.
for i in $(seq 60); do
  send 1 /once/never "full$i" -d x >/dev/null &
done
sleep 0.5
send 1 /once/1 crowded -d x >/dev/null
expect crowded no-room
wait $(jobs -p | grep -vxF "$(printf '%s\n' "${pids[@]}")") || true

# Both servers are killed. Requests are at the one whose node runs, so its gate notices at once.
kill -KILL "$(pid_of s2)" "$(pid_of s3)"
wait_for 2 grep -q 'server-phase.*to=absent reason=connection-refused' "$work/m$((5 - lost_node)).log" \
  || fail "the gate does not notice that its server was killed"

# A stopping node still accepts requests for 3 s. No gate is left for them: the node of one
# has been killed, and the server of the other.
kill -TERM "$(pid_of m1)"
sleep 0.5
send 1 /safe/never slow -H 'X-Timeout-Ms: 9000' >/dev/null || true
expect slow no-gate

logs=("$work"/m[123].log)
for pair in "${expected[@]}"; do
  read -r id cause <<<"$pair"
  "$build/filbertquay" explain "$id" "${logs[@]}" >"$work/explained" 2>/dev/null || true
  grep -q "^cause: $cause " "$work/explained" \
    || fail "$id: expected $cause; $(grep '^cause' "$work/explained")"
  checked=$((checked + 1))
done
[ "$checked" -ge 10 ] || fail "only $checked causes were checked"

# The killed node logged no end of the request: explain reports the missing line.
"$build/filbertquay" explain lost "${logs[@]}" 2>/dev/null | grep -q "^missing: .*m$lost_node" \
  || fail "the missing line is not named"
"$build/filbertquay" explain lost "$work/m1.log" 2>/dev/null | grep -q "^missing: the log" \
  || fail "the missing log is not named"
"$build/filbertquay" explain nobody "${logs[@]}" >/dev/null 2>"$work/error" && fail "an unknown id is accepted"
grep -q 'no line names request nobody' "$work/error" || fail "no error for an unknown id"
"$build/filbertquay" explain lost "$work/s1.log" 2>"$work/error" && fail "a log of another program is accepted"
grep -q 'no log line of filbertquay-node' "$work/error" || fail "no error for a log of another program"
head -c 3000 "$work/m1.log" >"$work/cut.log"
"$build/filbertquay" explain early "$work/cut.log" >/dev/null 2>"$work/error" || true
grep -q 'skipped [0-9]* lines that are incomplete' "$work/error" || fail "skipped lines are not reported"

"$build/filbertquay" report day "${logs[@]}" | grep -q 'no-room r-once' || fail "report day: text"
"$build/filbertquay" report day --json "${logs[@]}" | jq -e '.repeats >= 1' >/dev/null \
  || fail "report day: JSON"
"$build/filbertquay" report day --plot "${logs[@]}" | grep -q '^plot' || fail "report day: plot"
echo "1 passed, 0 failed"
