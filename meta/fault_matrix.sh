#!/usr/bin/env bash
# Runs every fault at every step, and seeded pairs of faults, in virtual time. Prints for each failing cell the
# command that replays it.
source "$(dirname "$0")/common.sh"
build_tree build fault_matrix > /dev/null
build/tests/fault_matrix/fault_matrix "$@"
