#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, which need Python's standard library only.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
python3 -m py_compile ./*.py
