#!/bin/sh
# The stand-ins of the cases are scripts and need no build. Checks what they need.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
python3 -m py_compile review/lib/*.py review/*/run.py
test -x target/apps/shuntjunctiond
