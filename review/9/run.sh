#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: could not run.
cd "$(dirname "$0")/../.." || exit 2
exec python3 review/9/case.py
