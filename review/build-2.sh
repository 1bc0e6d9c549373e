#!/usr/bin/env bash
# Builds what the cases of the second review start: the system, as deploy/system.toml says. The stand-ins are Python scripts
# that need the standard library only and are checked here.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked
python3 - review/standin2/*.py review/[6-9]/case.py review/10/case.py <<'P'
import os, sys
assert sys.version_info >= (3, 9), "the stand-ins need Python 3.9 or later"
for name in sys.argv[1:]:
    if os.path.exists(name):
        compile(open(name).read(), name, "exec")
P
