#!/bin/sh
# Checks the stand-ins of the cases 4 to 8, which are Python of the standard library: nothing is built.
# The routers that they start are those of the build in deploy/system.toml.
cd "$(dirname "$0")/.." || exit 1
exec python3 -B - <<'END'
import ast
import glob
import sys

if sys.version_info < (3, 9):
    sys.exit("the stand-ins need Python 3.9")
for path in ["review/standins-2/fleet.py", *sorted(glob.glob("review/[4-8]/case.py"))]:
    with open(path) as file:
        ast.parse(file.read(), path)
    print("checked", path)
END
