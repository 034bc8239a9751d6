#!/usr/bin/env bash
# Runs the case and writes record.txt in this folder. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1
python3 -c 'import sys; sys.path.insert(0, ".."); import harness_2' || exit 2
exec python3 case.py
