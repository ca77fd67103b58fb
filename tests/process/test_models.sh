#!/usr/bin/env bash
# The models of script/model hold, and their broken variants are detected.
exec "$(dirname "$0")/../../script/model"
