#!/usr/bin/env bash
# The three of seeds 900 to 1099 that test_chain_seeds.sh does not hold its bound with.
exec bash "$(dirname "$0")/test_chain_seeds.sh" "$1" 972 992 1014
