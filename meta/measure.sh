#!/usr/bin/env bash
# measure.sh [OPTIONS of measure.py]: the three measures, ours beside baselines, on real processes; under 5 minutes once built.
source "$(dirname "$0")/common.sh"
if [ -z "${LOVAGECLEAT_BUILT:-}" ]; then
  install_packages
  build_tree build all > /dev/null
fi
exec python3 meta/measure.py "$@"
