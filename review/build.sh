#!/usr/bin/env bash
# The stand-ins are plain Python without packages: nothing is compiled, but a
# file that this Python can't read is found here and not in a case. The
# project's own stand-ins aren't used.
set -euo pipefail
cd "$(dirname "$0")"
python3 -S - bed/*.py [0-9]/*.py <<'P'
import sys

for path in sys.argv[1:]:
    with open(path, encoding='utf-8') as source:
        compile(source.read(), path, 'exec')
print(f'{len(sys.argv) - 1} files of the stand-ins can be read')
P
