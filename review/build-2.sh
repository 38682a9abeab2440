#!/usr/bin/env bash
# Prepares the script cases of the second review (review/6 and up). Their
# stand-ins are Python programs that need the standard library alone: this checks
# that the interpreter is there and that it accepts them. The programs under
# test come from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"

python3 -B - support-2/*.py [0-9]*/case.py <<'T'
import sys

if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or later is needed")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
print(f"{len(sys.argv) - 1} stand-in files are sound")
T
