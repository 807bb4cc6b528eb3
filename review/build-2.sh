#!/bin/sh
# The stand-ins of this review run in the process of each case and need the standard library only.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m py_compile common-2/harness.py
