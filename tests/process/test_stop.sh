#!/usr/bin/env bash
# Graceful stops of the entry node and then of the gate, under load, with the platform down:
# every request gets a complete answer, a refusal with the outcome not-run, or no connection.
set -eu
# shellcheck source-path=SCRIPTDIR
. "$(dirname "$0")/lib.sh"

bearer="Authorization: Bearer $key"
requests=150

# send_one NODE MS NUMBER: sends a request; appends curl's exit status, the HTTP status, the
# outcome and "right" or "-" for the answer to $work/results.NODE.
send_one ()
{
  local path=/wait/$2?n=$3 rc=0 seen
  seen=$(curl -s -m 20 -H "$bearer" -H 'fq-service: echo' -H 'fq-deadline-ms: 15000' \
    -D "$work/head.$1.$3" -w '|%{http_code}' "http://127.0.0.1:$(caller_port "$1")$path") || rc=$?
  outcome=$(sed -n 's/^fq-outcome: \([a-z-]*\).*/\1/p' "$work/head.$1.$3" 2>/dev/null || true)
  if [ "$seen" = "$path|200" ]; then
    echo "$rc 200 $outcome right" >>"$work/results.$1"
  else
    echo "$rc ${seen##*|} $outcome -" >>"$work/results.$1"
  fi
}

# load NODE: requests of 20 ms, 300 ms and 3 s, about 40 a second.
load ()
{
  local waits=(20 300 3000) n
  for n in $(seq "$requests"); do
    send_one "$1" "${waits[$((n % 3))]}" "$n" &
    sleep 0.02
  done
  wait
}

# check_results WHAT NODE LEAST: fails unless every request was answered, refused as not run,
# or got no connection, and at least LEAST were answered.
check_results ()
{
  local results=$work/results.$2
  [ "$(wc -l <"$results")" = "$requests" ] || fail "$1: not all requests ended"
  if grep -vE '^(0 200 whole right|0 503 not-run -|7 000  -)$' "$results" >"$work/cut"; then
    fail "$1: $(wc -l <"$work/cut") requests were cut: $(sort "$work/cut" | uniq -c)"
  fi
  whole=$(grep -c 'whole right' "$results")
  [ "$whole" -ge "$3" ] || fail "$1: only $whole requests were answered"
  echo "$1: $whole answered, $(grep -c 'not-run' "$results" || true) refused as not run, \
$(grep -c '^7' "$results" || true) got no connection, 0 cut"
}

# runs: the number of requests that the upstream has begun.
runs ()
{
  grep -c '^run' "$work/echo.log" || true
}

# stop NODE: stops a node gracefully; it must exit with status 0.
stop ()
{
  kill -TERM "$(pid_of "n$1")"
  wait_for 25 eval "! kill -0 $(pid_of "n$1")" || fail "node $1 did not stop"
  wait "$(pid_of "n$1")" || fail "node $1 ended with status $?"
}

start_platform
for index in 1 2 3; do
  start_node "$index"
done
start echo "$build/fq-standin-echo" port="$(service_port 2)"
wait_for 5 curl -s "http://127.0.0.1:$(upstream_port 2)/none"
announced="service=wrekin/echo&address=127.0.0.1:$(service_port 2)&incarnation=1&slots=200"
curl -s -d '' "http://127.0.0.1:$(upstream_port 2)/fq/announce?$announced&connections=400"
served () { send_one "$1" 1 0; tail -n 1 "$work/results.$1" | grep -q right; }
wait_for 10 served 1 || fail "node 1 does not serve"
wait_for 10 served 3 || fail "node 3 does not serve"
rm "$work"/results.*
kill -KILL "$(pid_of platform)"

# send_slow NAME PATH CURL-OPTION...: a request with a transfer of several seconds.
send_slow ()
{
  local name=$1 path=$2
  shift 2
  curl -s -m 30 -o "$work/$name" -w '%{http_code}' -H "$bearer" -H 'fq-service: echo' \
    -H 'fq-deadline-ms: 20000' -H 'Expect:' "$@" \
    "http://127.0.0.1:$(caller_port 1)$path" >"$work/$name.status" || echo cut >"$work/$name.status"
}
large=$((16 << 20))
head -c $((4 << 20)) /dev/urandom >"$work/sent"

load 1 &
loader=$!
wait_for 20 eval "[ \$(runs) -ge 30 ]" || fail "the load does not run"
send_slow download "/large/$large" --limit-rate 1500K &
downloader=$!
send_slow upload /echo --limit-rate 400K --data-binary "@$work/sent" &
uploader=$!
sleep 0.5
stop 1
wait "$loader" "$downloader" "$uploader"
[ "$(cat "$work/download.status")" = 200 ] || fail "a slow answer: $(cat "$work/download.status")"
[ "$(wc -c <"$work/download")" = "$large" ] || fail "a slow answer is truncated"
case $(cat "$work/upload.status") in
  200) cmp "$work/sent" "$work/upload" || fail "a slow request: the body of the answer differs" ;;
  503) grep -q not-run "$work/upload" || fail "a slow request: 503 without the outcome not-run" ;;
  *) fail "a slow request: $(cat "$work/upload.status")" ;;
esac
check_results "entry stopped" 1 30

# Each run that began before the stop must be answered.
begun=$(runs)
load 3 &
loader=$!
wait_for 20 eval "[ \$(runs) -ge $((begun + 30)) ]" || fail "the load does not run"
stop 2
wait "$loader"
check_results "gate stopped" 3 30
echo "2 passed, 0 failed"
