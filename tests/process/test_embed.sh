#!/usr/bin/env bash
# The example program that embeds the core links none of the libraries that only code outside
# the core needs (libwebsockets, protobuf-c, log4c, OpenSSL), accounts for every call, and
# prints the same output on every run.
set -eu
program=$1/fq-example-embed

! ldd "$program" | grep -qE 'websockets|protobuf|log4c|ssl' \
  || { echo "the core links libwebsockets, protobuf-c, log4c or OpenSSL"; exit 1; }
first=$("$program")
second=$("$program")
[ "$first" = "$second" ] || { echo "the output of two runs differs"; exit 1; }
echo "$first" | tail -n 1
[ "$(grep -c ' ends ' <<<"$first")" -eq 40 ] || { echo "a call without an outcome"; exit 1; }
grep -qE '^[1-9][0-9]* whole, .* at most [1-8] at the upstream' <<<"$first" \
  || { echo "no call was answered, or more calls ran at once than the upstream has slots"; exit 1; }
