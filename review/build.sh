#!/bin/sh
# The stand-ins of the cases need the standard library only; this checks that they compile.
cd "$(dirname "$0")" && exec python3 -m compileall -q .
