#!/usr/bin/env bash
# The stand-ins are Python scripts, which need no build; checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import ast, pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
PY
