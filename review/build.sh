#!/usr/bin/env bash
# Checks that the stand-ins can run: they are Python 3 with its standard library only, so nothing is compiled.
set -euo pipefail
cd "$(dirname "$0")"
for file in standin/*.py trials/*.py [1-5]/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
