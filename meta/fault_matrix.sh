#!/usr/bin/env bash
# Every fault at every step and seeded pairs, in virtual time. A failing cell
# prints the command that replays it.
source "$(dirname "$0")/common.sh"
build_tree build fault_matrix > /dev/null
build/tests/fault_matrix/fault_matrix "$@"
