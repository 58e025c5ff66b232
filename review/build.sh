#!/usr/bin/env bash
# Builds the stand-ins of the review's cases. They use only the standard library of Python, so
# this only checks that they compile; the gateways come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
from pathlib import Path

for path in sorted(Path(".").glob("*/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PYTHON
