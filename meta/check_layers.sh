#!/usr/bin/env bash
# Fails if a library includes a higher layer, or any header of another library but its public one.
set -euo pipefail
cd "$(dirname "$0")/.."
layers=(base memory configuration messages policy logging metrics transport http routing command_line platform)
status=0
for ((i = 0; i < ${#layers[@]}; i++)); do
  own="${layers[$i]}"
  for ((j = 0; j < ${#layers[@]}; j++)); do
    other="${layers[$j]}"
    [ "$own" = "$other" ] && continue
    found=$(grep -rnE "#include \"$other/" "libraries/$own" --include='*.h' --include='*.cc' || true)
    [ -z "$found" ] && continue
    if ((j > i)); then
      echo "$found" | sed "s/^/$own may not include $other: /"
      status=1
    elif echo "$found" | grep -vE "\"$other/($other\.h|peer\.pb\.h)\""; then
      echo "only $other/$other.h is public"
      status=1
    fi
  done
done
for folder in services utilities; do
  if grep -rnE '#include "(base|memory|configuration|messages|policy|logging|metrics|transport|http|routing|command_line|platform)/' "$folder" | grep -vE '"([a-z_]+)/\1\.h"'; then
    echo "$folder: only a library's public header may be included"
    status=1
  fi
done
exit $status
