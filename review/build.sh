#!/usr/bin/env bash
# The stand-ins of the scripts are in review/lib/standins.py and in each case.py; they need no build, only Python 3.11 and its standard library.
# The project's own programs come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B -c 'import sys; assert sys.version_info >= (3, 11); compile(open("review/lib/standins.py").read(), "standins.py", "exec")'
for program in target/platform/bamboohold-router target/platform/bamboohold-relay; do
    [ -x "$program" ] || { echo "missing: $program (build of deploy/system.toml)"; exit 1; }
done
