#!/usr/bin/env bash
# Measures the slopes of docs/CAPACITY.md; the last output line is a JSON object with them.
#   capacity.sh           measures and prints
#   capacity.sh --write   also stores them in docs/capacity.json and updates the page's table
#   capacity.sh --check   fails unless the page's table matches docs/capacity.json and the new measurement is within
#                         tolerance of it
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
