#!/usr/bin/env bash
# The stand-ins are Python of the standard library: there is nothing to compile, only to check.
set -e
here=$(cd "$(dirname "$0")" && pwd)
export PYTHONDONTWRITEBYTECODE=1
python3 - "$here" <<'PY'
import pathlib, sys
if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or later is needed")
for path in sorted(pathlib.Path(sys.argv[1]).rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
print("stand-ins checked")
PY
