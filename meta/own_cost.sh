#!/usr/bin/env bash
# Measures the processor time and the delay that the entry hosts add; the last output line is a JSON object.
source "$(dirname "$0")/common.sh"
build_tree build all
python3 meta/own_cost.py
