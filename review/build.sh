#!/usr/bin/env bash
# Builds the programs of the cases, each with its own stand-ins of store, servers and clients, into
# review/bin. Needs only the C compiler that the deploy file names.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for source in [0-9]*/case.c; do
  [ -e "$source" ] || continue
  gcc -std=gnu11 -O1 -g -Wall -Wextra -pthread -o "bin/case-$(dirname "$source")" \
    "$source" harness/harness.c
done
