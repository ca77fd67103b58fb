#!/usr/bin/env bash
# Operators can read counters, events, status and tickets of their own member only.
set -eu
# shellcheck source-path=SCRIPTDIR
. "$(dirname "$0")/lib.sh"

start_platform
start_node 1
start_upstream 1 wrekin/tables
wait_for 10 serves 1 tables /ready || fail "the service is not served"
request 1 none /x >/dev/null
request 1 abyssinia/tables /x >/dev/null
echo "$key" >"$work/wrekin"
echo secret-of-abyssinia >"$work/abyssinia"
echo wrong-key-of-nobody >"$work/nobody"

cat >"$work/ticket.json" <<JSON
{ "id": "t1", "services": { "tables": { "deadline_ms": 900,
  "objectives": [ { "class": "lookup", "target_percent": 90.5, "latency_ms": 700 } ] } } }
JSON

# run_as MEMBER COMMAND...: runs filbertquay with the key of that member.
run_as ()
{
  local member=$1
  shift
  "$build/filbertquay" "$@" -n "127.0.0.1:$(operator_port 1)" -k "$work/$member" 2>&1
}

run_as wrekin ticket file "$work/ticket.json" | grep -q '"number"' || fail "the ticket is not accepted"
! run_as wrekin ticket file "$work/ticket.json" >"$work/twice.log" || fail "a second ticket with the same id is accepted"
grep -q 'refused (409)' "$work/twice.log" || fail "the second ticket is not refused with 409: $(cat "$work/twice.log")"
run_as wrekin ticket show t1 | grep -q 700 || fail "the ticket is not shown"
sleep 1

# Member, command, text, whether the output must contain it.
while read -r member command text shown; do
  # shellcheck disable=SC2086
  output=$(run_as "$member" ${command/=/ } || true)
  if [ "$shown" = yes ]; then
    grep -qF -- "$text" <<<"$output" || fail "no '$text' for $member in $command: $output"
  else
    ! grep -qF -- "$text" <<<"$output" || fail "'$text' for $member in $command: $output"
  fi
done <<TABLE
wrekin status wrekin/tables yes
wrekin status gate yes
wrekin events no-service yes
wrekin events limit yes
wrekin events announced yes
wrekin events ticket yes
wrekin ticket=list service/wrekin/tables yes
abyssinia ticket=list wrekin no
wrekin report=burn 90.50% yes
wrekin report=burn Missing yes
abyssinia report=burn wrekin no
abyssinia status wrekin no
abyssinia status gate no
abyssinia events wrekin no
abyssinia events limit no
nobody status 401 yes
nobody events 401 yes
nobody status wrekin/tables no
TABLE

metrics=$(curl -s -H "Authorization: Bearer $key" "http://127.0.0.1:$(operator_port 1)/metrics")
grep -q '^fq_requests_total{service="wrekin/tables",class="lookup",outcome="whole",cause="none"} [1-9]' \
  <<<"$metrics" || fail "no counter: $metrics"
grep -q '^fq_request_duration_seconds_bucket{.*le="+Inf"} [1-9]' <<<"$metrics" || fail "no histogram"
answer=$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$(operator_port 1)/metrics")
[ "$answer" = 401 ] || fail "metrics without a key were answered $answer"
echo "1 passed, 0 failed"
