#!/bin/sh
# The stand-ins of cases 4 to 8 use only Python's standard library, so there is
# nothing to compile. Check that the interpreter that runs them can load them.
set -e
cd "$(dirname "$0")/4"
python3 -m py_compile standins.py
