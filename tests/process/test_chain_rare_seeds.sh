#!/usr/bin/env bash
# The three seeds from 900 to 1099 with which the bound of test_chain_seeds.sh does not hold.
exec bash "$(dirname "$0")/test_chain_seeds.sh" "$1" 972 992 1014
