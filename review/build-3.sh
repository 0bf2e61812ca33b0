#!/usr/bin/env bash
# Builds the stand-ins of the third review. They are Python, and need only the standard
# library: it is checked that all of them compile. The entries come from the build of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'PYTHON'
import pathlib

files = sorted(pathlib.Path("standins-3").glob("*.py"))
files += sorted(pathlib.Path(".").glob("1[1-5]/*.py"))
for path in files:
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
print(len(files), "files compile")
PYTHON
