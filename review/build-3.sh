#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/9 to review/13 into target/review-3, after the build of
# the deploy file. They need the C library and jansson, which the deploy file names.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for program in slow-reader early-answer slow-clients late-reports long-name; do
  cc -std=gnu11 -O1 -Wall -Wextra -o "target/review-3/$program" "review/standins-3/$program.c" \
    review/standins-3/lab.c -ljansson -lpthread
done
