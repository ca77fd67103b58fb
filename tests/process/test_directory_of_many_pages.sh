#!/usr/bin/env bash
# Guards against a directory that is read again and again, or not to its end: pages of two rows, some of them
# with keys of 200 bytes or odd characters, or with a row that can't be read. The nodes have no seeds.
set -euo pipefail
. "$(dirname "$0")/node_lib.sh"

long=$(printf '%0190d' 7)

# put_row KEY [VALUE]: a row of another writer in the table of nodes; VALUE is in base64.
put_row ()
{
  curl -s -f -o /dev/null "http://$store/v1/rows-tx" -d "{\"precondition\":[],\"put\":[{
    \"table\":\"filbertquay-nodes\",\"part\":\"\",\"key\":\"$1\",\"value\":\"${2:-e30=}\"}],\"remove\":[]}"
}
reads () { grep -c '^call GET /v1/rows-get' "$work/store.log"; }
gates_up () { curl -s "http://$(ip "$1"):$metrics_port/metrics" | sed -n 's/^fq_gates_up //p'; }
finds_all () { [ "$(gates_up "$1")" = 3 ]; }

start store "$build/fq-standin-store" "$store" 2
wait_for 5 curl -s -o /dev/null "http://$store/" || fail "the store does not answer"
put_row ""
put_row "127.0.0.10${long}"
put_row "127.0.0.11 & more=%41+#?/é"
put_row "127.0.0.12${long}" "not base64"
put_row "127.0.0.13${long}"
put_row "127.0.0.13${long:0:100}" "not base64"
put_row "${long}0123456789"
put_row "zone/a"
put_config 1 2s
for i in 1 2 3 4; do
  write_settings $i back
  sed -i 's/"seeds": \[.*\],/"seeds": [],/' "$work/m$i.json"
  start "m$i" "$build/filbertquay-node" "$work/m$i.json"
done
for i in 1 2 3 4; do
  wait_for 6 finds_all $i || fail "node $i is connected to $(gates_up $i) of 3 others"
done
# Each node reads the configuration once, and the directory of 6 pages at its start and perhaps once more.
sleep 2
before=$(reads)
sleep 3
[ "$(reads)" -eq "$before" ] || fail "the directory is read again and again: $(($(reads) - before)) pages in 3 s"
[ "$before" -le 100 ] || fail "$before reads of the store"
