#!/usr/bin/env bash
# Makes ready what the scripts of cases 4 to 8 start besides the programs of the deploy file. Their stand-ins (store, workers, consumers) are
# Python files beside each script and need the standard library only, so this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for folder in 4 5 6 7 8; do
    for file in "$folder"/*.py; do
        [ -f "$file" ] && python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
    done
done
exit 0
