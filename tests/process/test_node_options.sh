#!/usr/bin/env bash
# Arguments of filbertquayd and filbertquay, the log level, the limit of a shutdown, and that
# the log holds no secrets.
set -eu
# shellcheck source-path=SCRIPTDIR
. "$(dirname "$0")/lib.sh"
root=$(cd "$(dirname "$0")/../.." && pwd)

# expect STATUS TEXT COMMAND...
expect ()
{
  local expected=$1 text=$2 rc=0
  shift 2
  "$@" >"$work/output.log" 2>&1 || rc=$?
  [ "$rc" = "$expected" ] || fail "status $rc, expected $expected: $*"
  grep -qF -- "$text" "$work/output.log" || fail "no '$text' in the output of: $*"
}

echo '{ "node": 5, "colour": "red" }' >"$work/bad.json"
echo "$key" >"$work/key"
for example in "$root"/examples/*.json; do
  expect 0 'no faults' "$build/filbertquayd" --check "$example"
  expect 0 'no faults' "$build/filbertquay" check-settings "$example"
done
expect 1 'colour: is unknown' "$build/filbertquayd" --check "$work/bad.json"
expect 1 'node: is 5' "$build/filbertquayd" "$work/bad.json"
expect 1 'node: is 5' "$build/filbertquay" check-settings "$work/bad.json"
expect 1 'none.json' "$build/filbertquay" check-settings "$work/none.json"
expect 2 'Usage' "$build/filbertquayd"
expect 2 'Usage' "$build/filbertquay"
expect 2 'no such command' "$build/filbertquay" fly
expect 2 'Usage' "$build/filbertquay" ticket burn
expect 2 'Usage' "$build/filbertquay" report
expect 2 'not a ticket ID' "$build/filbertquay" ticket show ../status
expect 3 'no answer' "$build/filbertquay" status -k "$work/key" -n "127.0.0.1:$(operator_port 9)"
for command in '' ticket status events report check-settings load; do
  # shellcheck disable=SC2086
  expect 0 'Exit status' "$build/filbertquay" $command --help
done

start_platform
start_node 1 debug
start_upstream 1 wrekin/tables
wait_for 10 serves 1 tables /ready || fail "the service is not served"
echo wrong-key-of-nobody >"$work/wrong"
expect 1 'refused (401)' "$build/filbertquay" status -k "$work/wrong" -n "127.0.0.1:$(operator_port 1)"
request 1 tables '/secret-path' -H 'idempotency-key: secret-idempotency' -d 'secret-body' >/dev/null
request 1 none '/secret-path' -H 'idempotency-key: secret-idempotency' -d 'secret-body' >/dev/null
grep -qE '^20[0-9-]+T[0-9:.]+Z info gate: The upstream announced wrekin/tables' "$work/n1.log" || fail "the gate did not log the announcement"
for secret in "$key" secret-of-abyssinia cluster-key-of-the-test wrong-key-of-nobody \
  secret-idempotency secret-body; do
  ! grep -qF "$secret" "$work/n1.log" || fail "the log holds the secret $secret"
done

start_node 2 error
wait_for 5 grep -q . "$work/n2.json"
sleep 1
! grep -q ' info ' "$work/n2.log" || fail "a line below the log level of the settings"

start_node 3 info 1
start_upstream 3 wrekin/slow service_ms=20000
sleep 1
request 3 slow / >/dev/null &
sleep 0.5
kill -TERM "$(pid_of n3)"
wait_for 8 eval "! kill -0 $(pid_of n3)" || fail "the node runs beyond stop_seconds"
grep -q 'node: The shutdown is cut short with 1 requests of callers and 1 runs' "$work/n3.log" \
  || fail "the aborted requests are not logged"
echo "1 passed, 0 failed"
