#!/usr/bin/env bash
# Guards against a node that rejects requests for their size (413, 431, which clients don't retry) while it
# knows no configuration, and so none of the limits: it answers 503 with Retry-After.
set -euo pipefail
. "$(dirname "$0")/node_lib.sh"

head -c 3000000 /dev/zero >"$work/body"
large_field=$(printf '%030000d' 7)

# status CURL-ARGUMENTS...: of an upload to node 1
status ()
{
  curl -s -o /dev/null -D "$work/head" -w '%{http_code}' -X POST -H 'Host: h' -H 'X-Attempt-Id: r' \
    -H 'X-Timeout-Ms: 5000' "$@" "http://$(ip 1):$requests_port/upload/1"
}

start_store
write_settings 1 front
start m1 "$build/filbertquay-node" "$work/m1.json"
wait_for 5 curl -s -o /dev/null "http://$(ip 1):$ready_port/v1/readiness" || fail "the node does not answer"
[ "$(status --data-binary "@$work/body" -H 'Expect:')" = 503 ] || fail "the upload got $(head -1 "$work/head")"
grep -qi '^Retry-After' "$work/head" || fail "no Retry-After"
[ "$(status -H "X-Large: $large_field")" = 503 ] || fail "the large head got $(head -1 "$work/head")"
# With a configuration its limits hold.
put_config 1 2s
wait_for 5 grep -q event=config-in-force "$work/m1.log" || fail "no configuration"
[ "$(status --data-binary "@$work/body" -H 'Expect:')" = 413 ] || fail "the upload got $(head -1 "$work/head")"
[ "$(status -H "X-Large: $large_field")" = 431 ] || fail "the large head got $(head -1 "$work/head")"
