#!/usr/bin/env bash
# The models of the two agreements hold, and their broken variants are caught.
exec "$(dirname "$0")/../../script/model"
