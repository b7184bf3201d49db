#!/usr/bin/env bash
# TROUBLE=0 plays the same without the disruption. Exit: 1 the rule was broken, 0 it held, 2 the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
export TROUBLE="${TROUBLE:-1}" PYTHONDONTWRITEBYTECODE=1
exec timeout -k 5 115 python3 "$here/case.py"
