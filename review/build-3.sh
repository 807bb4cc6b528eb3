#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review 3 start, if any.
#
# They are single Python files that need the standard library only, so there is nothing to compile;
# this checks that each of them can be read by the Python that will run it.
set -euo pipefail
cd "$(dirname "$0")"
for file in common-3/*.py 1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 - "$file" <<'CHECK'
import sys
compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")
CHECK
done
