# Starts filbertquay-node with the command of the deploy file, beside stand-ins, on loopback
# addresses and free ports in a temporary folder. A script sources it after cd to its folder.
# shellcheck shell=bash
set -u
root=$(cd ../.. && pwd)
actor=$root/target/review-2/actor
node=$root/$(sed -n 's/^run = "\(.*\)"/\1/p' "$root/deploy/system.toml")
trouble=${TROUBLE:-1}
case_dir=$PWD
work=$(mktemp -d)
pids=()
record=$case_dir/record.txt
: >"$record"

stop_all ()
{
  local pid
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$work" "$lock"
}

cannot_run () { echo "can't run: $*"; exit 2; }

for file in "$actor" "$root/target/review-2/store" "$node"; do
  [ -x "$file" ] || { rm -rf "$work"; echo "can't run: $file is missing"; exit 2; }
done

# A block of 10 ports that nobody listens on; the folder keeps other runs away from it.
ports_are_free ()
{
  local port
  for port in $(seq "$base" $((base + 9))); do
    grep -qi ":$(printf '%04X' "$port") " /proc/net/tcp && return 1
  done
  return 0
}

reserve_ports ()
{
  local block
  for block in $(seq 1100 2900 | shuf); do
    base=$((block * 10))
    lock=/tmp/fq-review-2.$base
    mkdir "$lock" 2>/dev/null || continue
    ports_are_free && return
    rmdir "$lock"
  done
  rm -rf "$work"
  echo "can't run: no free ports"
  exit 2
}
reserve_ports
trap stop_all EXIT
trap 'exit 2' INT TERM

subnet=$((RANDOM % 200 + 20))
ip () { echo "127.77.$subnet.$((10 + $1))"; }
requests () { echo "$(ip "$1"):$((base + 1))"; }
ready () { echo "$(ip "$1"):$((base + 2))"; }
reports () { echo "$(ip "$1"):$((base + 3))"; }
server () { echo "$(ip "$1"):$((base + 5))"; }
store=$(ip 0):$((base + 6))

now_ms () { local t; read -r t _ </proc/uptime; echo "${t/./}0"; }

# start NAME COMMAND...: its output goes to $work/NAME.log, its id to pid[NAME].
declare -A pid=()
start ()
{
  local name=$1
  shift
  "$@" >>"$work/$name.log" 2>&1 </dev/null &
  pid[$name]=$!
  pids+=($!)
}

# wait_for SECONDS COMMAND...
wait_for ()
{
  local tries=$(($1 * 20))
  shift
  until "$@" >/dev/null 2>&1; do
    tries=$((tries - 1))
    [ "$tries" -gt 0 ] || return 1
    sleep 0.05
  done
}

call () { [ "$("$actor" call "$@")" = 200 ]; }

start_store ()
{
  start store "$root/target/review-2/store" "$store"
  wait_for 5 call GET "$store" '/v1/rows-get?table=op&part=&from=' || cannot_run "the store does not answer"
}

memory_mb=260

# start_node NUMBER SERVICE [STORE]: the settings are those of afr-plant in deploy/settings.json.
start_node ()
{
  cat >"$work/m$1.json" <<END
{ "node": "m$1", "zone": "z", "ip": "$(ip "$1")", "store": "${3:-$store}", "seeds": [],
  "listen": { "requests": "$(requests "$1")", "readiness": "$(ready "$1")",
    "reports": "$(reports "$1")", "nodes": "$(ip "$1"):$((base + 4))" },
  "server": { "service": "$2", "address": "$(server "$1")", "report_interval": "1500ms", "drain": "2000ms" },
  "retries": { "ratio": 0.2, "window": "10s", "slack": 48 },
  "limits": { "memory_mb": $memory_mb, "descriptors": 4100, "grace": "6s" } }
END
  FILBERTQUAY_NODE_FILE=$work/m$1.json start "m$1" "$node"
}

# start_server NUMBER SERVICE WORK_MS: write its commands to $work/s$1.in.
start_server ()
{
  mkfifo "$work/s$1.in"
  "$actor" server "$(server "$1")" "$(reports "$1")" "$2" "i-$1" 1500 "$3" \
    >>"$work/s$1.log" 2>&1 <>"$work/s$1.in" &
  pid[s$1]=$!
  pids+=($!)
}

is_ready () { call GET "$(ready "$1")" /v1/readiness; }
has_server () { grep -q 'to=ready' "$work/m$1.log"; }

# start_proxy NAME ADDRESS TARGET: write its commands to $work/NAME.in.
start_proxy ()
{
  mkfifo "$work/$1.in"
  "$actor" proxy "$2" "$3" >>"$work/$1.log" 2>&1 <>"$work/$1.in" &
  pid[$1]=$!
  pids+=($!)
}

# put_config [VERSION SERVICE]: prefix /back/ of host h is safe, /once/ unsafe and /upload/ of
# kind upload; they go to SERVICE.
put_config ()
{
  local to=${2:-back}
  local document value
  document="{\"version\":${1:-1},\"services\":["
  document+='{"name":"front","health_path":"/health","max_connections":724},'
  document+='{"name":"other","health_path":"/health","max_connections":724},'
  document+='{"name":"back","health_path":"/health","max_connections":724}],'
  document+='"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},'
  document+='"virtual_hosts":[{"host":"h","paths":['
  document+='{"name":"r1","prefix":"/back/","route_type":"safe","timeout":"5s","target_latency":"1500ms","priority":1,"service":"TO","max_attempts":2},'
  document+='{"name":"r3","prefix":"/once/","route_type":"unsafe","timeout":"5s","target_latency":"1500ms","priority":0,"service":"TO","max_attempts":2},'
  document+='{"name":"r2","prefix":"/upload/","route_type":"upload","timeout":"30s","target_latency":"1500ms","priority":1,"service":"TO","max_attempts":2}]}]}'
  value=$(echo -n "${document//TO/$to}" | base64 -w 0)
  call POST "$store" /v1/rows-tx "{\"precondition\":[],\"put\":[{\"table\":\"op\",\"part\":\"\",\"key\":\"config\",\"value\":\"$value\"}],\"remove\":[]}" \
    || cannot_run "the config was not written"
}

# keep NAME...: appends what these stand-ins have said to the record.
keep ()
{
  local name
  for name in "$@"; do
    [ -f "$work/$name.log" ] && sed "s/^/$name /" "$work/$name.log" >>"$record"
  done
}
