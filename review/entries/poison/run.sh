#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run. TROUBLE=0: without the deaths of the routers.
set -u
cd "$(dirname "$0")"
exec timeout 118 python3 -B case.py
