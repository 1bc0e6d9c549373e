#!/usr/bin/env bash
# Checks the stand-ins that the scripts start. They are Python programs of the standard library alone, so nothing is
# compiled; the project's own program is built by the command of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
for f in common/*.py [1-5]/*.py; do
  [ -e "$f" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$f"
done
