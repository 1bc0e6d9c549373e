#!/bin/sh
# Checks that the stand-ins and the cases of the third review can be run: they are Python with its standard library only,
# so nothing has to be compiled. The program itself is built by the build of the deploy file.
set -eu
cd "$(dirname "$0")"
python3 - standin3/standin.py 1[1-5]/case.py <<'P'
import sys

if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or later is needed")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
print(f"{len(sys.argv) - 1} files checked")
P
