#!/usr/bin/env bash
# The stand-ins need Python's standard library only: this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib

for path in sorted(pathlib.Path().rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
PY
