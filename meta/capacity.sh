#!/usr/bin/env bash
# Measures the slopes that docs/CAPACITY.md uses; the last line is one JSON object of slopes.
#   capacity.sh           measures and prints
#   capacity.sh --write   also records them in docs/capacity.json and fills in the page's table
#   capacity.sh --check   fails unless the page's table is that of docs/capacity.json, and what is measured now agrees
source "$(dirname "$0")/common.sh"
install_packages
build_tree build lovagecleat-capacity > /dev/null
slopes=$(build/bin/lovagecleat-capacity)
case "${1:-}" in
  --write)
    printf '%s\n' "$slopes" | python3 -m json.tool > docs/capacity.json
    python3 meta/capacity_page.py write
    ;;
  --check)
    python3 meta/capacity_page.py check
    printf '%s\n' "$slopes" | python3 meta/capacity_page.py compare
    ;;
esac
printf '%s\n' "$slopes"
