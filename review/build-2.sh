#!/bin/bash
# Checks the stand-ins of the scripts review/6 to review/10, which are Python and need no build: all are in
# review/deployment_2.py and in the cases' own case.py.
set -euo pipefail
cd "$(dirname "$0")"
python3 - deployment_2.py [0-9]*/case.py <<'PYTHON'
import ast, pathlib, sys
if sys.version_info < (3, 11):
    sys.exit("the scripts need Python 3.11 or later, for tomllib")
for path in sys.argv[1:]:
    ast.parse(pathlib.Path(path).read_text(), path)
PYTHON
