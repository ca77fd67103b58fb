# Starts filbertquay-node, its servers and the stand-in store. As on the platform, each
# machine has its own address, and all machines use the same ports.
# shellcheck shell=bash
# shellcheck source-path=SCRIPTDIR
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"

# Tests that run at the same time have separate blocks of ports, so they may share addresses.
ip () { echo "127.0.0.$((10 + $1))"; }
requests_port=$((base + 1))
ready_port=$((base + 2))
reports_port=$((base + 3))
nodes_port=$((base + 4))
server_port=$((base + 5))
metrics_port=$((base + 6))
store=127.0.0.10:$((base + 7))
# Limits in the settings of the nodes and in the configuration; a test may lower them.
memory_mb=256
descriptors=1024
max_body_bytes=1048576

start_store ()
{
  start store "$build/fq-standin-store" "$store"
  wait_for 5 curl -s -o /dev/null "http://$store/" || fail "the store does not answer"
}

# put_config VERSION TIMEOUT: routes /safe/, /once/ and /upload/ of host h to service back.
put_config ()
{
  local routes='' kind document
  for kind in safe once upload; do
    local type=$kind
    [ "$kind" = once ] && type=unsafe
    routes+="{\"name\":\"r-$kind\",\"prefix\":\"/$kind/\",\"route_type\":\"$type\","
    routes+="\"timeout\":\"$2\",\"target_latency\":\"1s\",\"max_attempts\":2,"
    routes+="\"priority\":1,\"service\":\"back\"},"
  done
  document="{\"version\":$1,\"services\":["
  document+="{\"name\":\"front\",\"health_path\":\"/health\",\"max_connections\":50},"
  document+="{\"name\":\"back\",\"health_path\":\"/health\",\"max_connections\":50}],"
  document+="\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":$max_body_bytes,"
  document+="\"header_timeout\":\"1s\",\"idle_timeout\":\"10s\"},"
  document+="\"virtual_hosts\":[{\"host\":\"h\",\"paths\":[${routes%,}]}]}"
  curl -s -f -o /dev/null "http://$store/v1/rows-tx" -d "{\"precondition\":[],\"put\":[{
    \"table\":\"op\",\"part\":\"\",\"key\":\"config\",
    \"value\":\"$(echo -n "$document" | base64 -w 0)\"}],\"remove\":[]}"
}

# put_route VERSION SERVICE OTHER...: /once/ of host h goes to SERVICE; the configuration names these services.
put_route ()
{
  local version=$1 service document services=''
  shift
  for service in "$@"; do
    services+="{\"name\":\"$service\",\"health_path\":\"/health\",\"max_connections\":50},"
  done
  document="{\"version\":$version,\"services\":[${services%,}],"
  document+="\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":$max_body_bytes,"
  document+="\"header_timeout\":\"1s\",\"idle_timeout\":\"10s\"},"
  document+="\"virtual_hosts\":[{\"host\":\"h\",\"paths\":[{\"name\":\"r\",\"prefix\":\"/once/\","
  document+="\"route_type\":\"unsafe\",\"timeout\":\"2s\",\"target_latency\":\"1s\",\"max_attempts\":2,"
  document+="\"priority\":1,\"service\":\"$1\"}]}]}"
  curl -s -f -o /dev/null "http://$store/v1/rows-tx" -d "{\"precondition\":[],\"put\":[{
    \"table\":\"op\",\"part\":\"\",\"key\":\"config\",
    \"value\":\"$(echo -n "$document" | base64 -w 0)\"}],\"remove\":[]}"
}

# knows NUMBER COUNT: that node is connected to so many others.
knows ()
{
  [ "$(curl -s "http://$(ip "$1"):$metrics_port/metrics" | sed -n 's/^fq_gates_up //p')" = "$2" ]
}

write_settings () # NUMBER SERVICE
{
  cat >"$work/m$1.json" <<END
{ "node": "m$1", "zone": "z", "ip": "$(ip "$1")", "store": "$store",
  "seeds": ["$(ip 1):$reports_port", "$(ip 2):$reports_port"],
  "listen": { "requests": "$(ip "$1"):$requests_port", "readiness": "$(ip "$1"):$ready_port",
    "reports": "$(ip "$1"):$reports_port", "nodes": "$(ip "$1"):$nodes_port",
    "metrics_port": $metrics_port },
  "server": { "service": "$2", "address": "$(ip "$1"):$server_port",
    "report_interval": "500ms", "drain": "2s" },
  "retries": { "ratio": 0.2, "window": "10s", "slack": 40 },
  "limits": { "memory_mb": $memory_mb, "descriptors": $descriptors, "grace": "6s" } }
END
}

# start_machine NUMBER SERVICE WORK_MS: starts the node and the server of a machine; the
# server needs WORK_MS for a request.
start_machine ()
{
  write_settings "$1" "$2"
  start "m$1" "$build/filbertquay-node" "$work/m$1.json"
  start "s$1" "$build/fq-standin-server" "$(ip "$1"):$server_port" \
    "$(ip "$1"):$reports_port" "$2" "i-$1" "$3"
}

# The previous process has been signalled to end; its ports are free once it has ended.
restart_node () # NUMBER
{
  wait "$(pid_of "m$1")" 2>/dev/null || true
  start "m$1" "$build/filbertquay-node" "$work/m$1.json"
}

# send NUMBER TARGET ID [CURL ARGUMENTS]: sends a request to that machine; prints the
# status and writes the body to $work/answer.ID.
send ()
{
  local number=$1 target=$2 id=$3
  shift 3
  curl -s -o "$work/answer.$id" -w '%{http_code}' -H 'Host: h' -H "X-Attempt-Id: $id" \
    -H 'X-Timeout-Ms: 5000' "$@" "http://$(ip "$number"):$requests_port$target"
}

is_ready ()
{
  [ "$(curl -s -o /dev/null -w '%{http_code}' \
    "http://$(ip "$1"):$ready_port/v1/readiness")" = 200 ]
}

serves_from () # NUMBER
{
  [ "$(send "$1" /safe/probe probe)" = 200 ]
}

# start_two_fronts_and_backs WORK_MS: machines 1 and 4 run service front, 2 and 3 service back.
start_two_fronts_and_backs ()
{
  start_store
  put_config 1 2s
  start_machine 1 front "$1"
  start_machine 2 back "$1"
  start_machine 3 back "$1"
  start_machine 4 front "$1"
  wait_for 5 serves_from 1 || fail "the service is not served"
  wait_for 5 serves_from 4 || fail "the service is not served"
}

# state NUMBER FIELD=VALUE: the server of that machine adds the field to all its answers; without
# FIELD=VALUE it adds none.
state ()
{
  curl -s -f -o /dev/null "http://$(ip "$1"):$server_port/control/${2:-}" || fail "no control of server $1"
}

# offer_load NUMBER PREFIX SECONDS RATE: sends RATE requests a second to that machine, with the
# ids PREFIX1, PREFIX2, ...; their statuses go to $work/status.ID.
offer_load () (
  local i
  for i in $(seq "$(($3 * $4))"); do
    send "$1" "/safe/$2$i" "$2$i" >"$work/status.$2$i" &
    sleep "$(awk "BEGIN { print 1 / $4 }")"
  done
  wait
)

# most_in_window LOG FROM WINDOW [IDS]: the most requests that reached a server within WINDOW ms, of
# those at FROM (ms) or later whose ids match the pattern IDS.
most_in_window ()
{
  awk -v from="$2" -v window="$3" -v ids="${4:-.}" '
    $1 == "run" && $4 >= from && $2 ~ ids { times[count++] = $4 }
    END {
      for (i = 0; i < count; i++) {
        while (times[i] - times[first] >= window) first++
        if (i - first + 1 > most) most = i - first + 1
      }
      print most + 0
    }' "$1"
}

time_of () # LOG PATTERN: the time in ms at the end of the last line that matches
{
  grep -E "$2" "$1" | tail -n 1 | awk '{print $NF}'
}

# served PREFIX: share in percent of the requests with these ids that were answered 200.
served ()
{
  local all=0 good=0 file
  for file in "$work"/status."$1"*; do
    all=$((all + 1))
    [ "$(cat "$file")" = 200 ] && good=$((good + 1))
  done
  echo $((good * 100 / all))
}
