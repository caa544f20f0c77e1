#!/bin/sh
# The stand-ins of the cases are Python files that need the standard library
# only. This checks that they and the build of the deploy file can be loaded.
set -eu
cd "$(dirname "$0")/.."
python3 -B - review/standin.py review/[1-5]/case.py <<'PY'
import pathlib
import sys

for path in sys.argv[1:]:
    if pathlib.Path(path).exists():
        compile(pathlib.Path(path).read_text(), path, "exec")
PY
PYTHONPATH=target/deps python3 -B -P -c "import trefoilroad_platform.daemon"
