#!/bin/sh
# Builds the stand-ins of the second review's scripts. They are Python and run with the libraries of
# the deploy file's build; this checks that all of it can be loaded.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:. python3 - <<'END'
import pathlib
import sys

sys.path.insert(0, "review")
import lab2

assert lab2.Lab
for path in sorted(pathlib.Path("review").glob("*/case.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
END
