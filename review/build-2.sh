#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start: the program of deploy/system.toml. The stand-ins are Python
# (review/standin2), of which only the syntax is checked.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked -p snipevane-fleet
for file in review/standin2/*.py review/6/*.py review/7/*.py review/8/*.py review/9/*.py review/10/*.py review/trials-2/*/*.py; do
    if [ -e "$file" ]; then
        python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
    fi
done
