#!/bin/sh
# The stand-ins are Python programs that need only its standard library, so
# there is nothing to compile. Checks that they can be loaded.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PYTHON'
import glob
import sys

if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or later is needed")
for path in sorted(glob.glob("standin/*.py") + glob.glob("*/run.py")):
    with open(path) as file:
        compile(file.read(), path, "exec")
PYTHON
