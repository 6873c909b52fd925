#!/usr/bin/env bash
# Measures the entry hosts' own processor time and added delay; the last line is one JSON object.
source "$(dirname "$0")/common.sh"
build_tree build all
python3 meta/own_cost.py
