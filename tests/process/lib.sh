# Starts filbertquayd and stand-ins on free loopback ports and stops them by process id.
# shellcheck shell=bash
build=$1
work=$(mktemp -d)
pids=()
key=secret-of-wrekin
test_faults={}
rollup_ms=30000

# Reserves a block of 100 ports below the ephemeral range that nobody listens on. The
# directory in /tmp is a lock against tests that run at the same time.
reserve_ports ()
{
  local block
  for block in $(shuf -i 100-299); do
    base=$((block * 100))
    mkdir "/tmp/fq-test-ports.$base" 2>/dev/null || continue
    ss -Hltun | awk '{print $5}' | grep -qE ":${block}[0-9][0-9]$" || return 0
    rmdir "/tmp/fq-test-ports.$base"
  done
  echo "no free block of 100 ports"
  exit 1
}
reserve_ports

stop_all ()
{
  local pid
  for pid in "${pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
  done
  rm -rf "$work" "/tmp/fq-test-ports.$base"
}
trap stop_all EXIT

fail ()
{
  echo "FAILED: $*"
  tail -n 5 "$work"/*.log
  exit 1
}

# start NAME COMMAND...: runs in the background, its output in $work/NAME.log.
start ()
{
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
  echo $! >"$work/$name.pid"
}

pid_of ()
{
  cat "$work/$1.pid"
}

peer_port () { echo $((base + $1)); }
caller_port () { echo $((base + 20 + $1)); }
upstream_port () { echo $((base + 40 + $1)); }
operator_port () { echo $((base + 60 + $1)); }
service_port () { echo $((base + 80 + $1)); }
platform_port () { echo $((base + 99)); }

# start_platform OPTION...: starts the stand-in of the table service and object store.
start_platform ()
{
  start platform "$build/fq-standin-platform" port="$(platform_port)" "$@"
}

# platform_fault JSON: sets faults of the stand-in, see docs/design/store.md.
platform_fault ()
{
  curl -s -o /dev/null -X POST -d "$1" "http://127.0.0.1:$(platform_port)/fault"
}

# file_ticket NODE FILE: prints the answer, then the status.
file_ticket ()
{
  curl -s -m 12 -w '\n%{http_code}\n' -H "Authorization: Bearer $key" --data-binary "@$2" \
    "http://127.0.0.1:$(operator_port "$1")/v1/tickets"
}

# ticket_number NODE: the highest ticket in force there.
ticket_number ()
{
  curl -s -m 2 -H "Authorization: Bearer $key" \
    "http://127.0.0.1:$(operator_port "$1")/v1/tickets" | sed -n 's/^{"number":\([0-9]*\).*/\1/p'
}

# start_node INDEX [LOG-LEVEL [STOP-SECONDS]]: starts a node whose seed is node 1.
start_node ()
{
  cat >"$work/n$1.json" <<JSON
{ "node": "n$1", "failure_domain": "mid-$((($1 - 1) % 3))", "region": "midlands",
  "cluster_key": "cluster-key-of-the-test", "platform": "127.0.0.1:$(platform_port)",
  "listen": { "address": "127.0.0.1", "peer": $(peer_port "$1"),
              "caller": $(caller_port "$1"), "upstream": $(upstream_port "$1"),
              "operator": $(operator_port "$1") },
  "seeds": ["127.0.0.1:$(peer_port 1)"],
  "log": { "level": "${2:-info}" }, "limits": { "stop_seconds": ${3:-30} },
  "report": { "rollup_ms": $rollup_ms }, "test_faults": $test_faults,
  "members": [ { "name": "wrekin", "key": "$key" },
               { "name": "abyssinia", "key": "secret-of-abyssinia" } ] }
JSON
  start "n$1" "$build/filbertquayd" "$work/n$1.json"
}

# start_upstream INDEX SERVICE OPTION...: starts a stand-in upstream beside node INDEX.
start_upstream ()
{
  local index=$1 service=$2
  shift 2
  start "u$index" "$build/fq-standin-upstream" port="$(service_port "$index")" \
    node="$(upstream_port "$index")" service="$service" "$@"
}

# request NODE SERVICE PATH CURL-OPTION...: sends a request; prints the body, then the
# status and a line break.
request ()
{
  local node=$1 service=$2 path=$3
  shift 3
  curl -s -m 5 -w '%{http_code}\n' -H "Authorization: Bearer $key" -H "fq-service: $service" \
    "$@" "http://127.0.0.1:$(caller_port "$node")$path"
}

# wait_for SECONDS COMMAND...: repeats a command until it succeeds; returns 1 when it has
# not succeeded after SECONDS.
wait_for ()
{
  local tries=$(($1 * 10))
  shift
  while ! "$@" >/dev/null 2>&1; do
    tries=$((tries - 1))
    [ "$tries" -gt 0 ] || return 1
    sleep 0.1
  done
}

# serves NODE SERVICE PATH: whether a request is answered with status 200.
serves ()
{
  request "$1" "$2" "$3" | tail -n 1 | grep -q '^200$'
}
