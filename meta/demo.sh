#!/usr/bin/env bash
# demo.sh [qureshi|rwanda] [BASE PORT]: builds all, starts the deployment on this machine and runs example requests.
# Without a port it takes free ones.
source "$(dirname "$0")/common.sh"
name="${1:-qureshi}"
[ -d "deployments/$name" ] || { echo "unknown deployment $name: expected a folder of deployments/"; exit 2; }
if [ -z "${LOVAGECLEAT_BUILT:-}" ]; then
  install_packages
  build_tree build all
fi
exec python3 meta/demo.py "$name" "${@:2}"
