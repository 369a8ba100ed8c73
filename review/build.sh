#!/bin/sh
# The stand-ins are Python files that need the standard library alone: there is nothing to build but
# a check that the interpreter of the deploy file's build can read them.
set -e
cd "$(dirname "$0")/.."
exec .venv/bin/python -B - review/standins.py review/*/case.py <<'CHECK'
import sys
from pathlib import Path

for name in sys.argv[1:]:
    compile(Path(name).read_text(), name, "exec")
CHECK
