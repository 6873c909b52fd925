#!/usr/bin/env bash
# measure.sh [OPTIONS of measure.py]: compares placement by expected finish time with the baselines on real processes;
# takes less than 5 minutes after the build.
source "$(dirname "$0")/common.sh"
if [ -z "${LOVAGECLEAT_BUILT:-}" ]; then
  install_packages
  build_tree build all > /dev/null
fi
exec python3 meta/measure.py "$@"
