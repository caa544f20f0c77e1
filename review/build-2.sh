#!/bin/sh
# Builds the stand-ins of the scripts of the second review. They are plain
# Python on the standard library, so this only checks that they compile.
set -eu
cd "$(dirname "$0")"
python3 -B - standins-2/standins.py [0-9]*/case.py <<'EOF'
import sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as source:
        compile(source.read(), name, "exec")
EOF
