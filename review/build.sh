#!/bin/sh
# The stand-ins are Python programs that use the standard library alone, so
# there is nothing to compile; this checks that they can be read.
cd "$(dirname "$0")/.." && python3 - <<'PY'
import pathlib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
PY
