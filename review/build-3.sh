#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are Python 3 programs of the standard library alone, so there is
# nothing to compile: this checks that they can be read.
cd "$(dirname "$0")/.." || exit 1
for file in review/standin3/*.py review/1[1-5]/*.py review/trials-3/*/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 1
done
