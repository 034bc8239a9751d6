#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are Python programs that need the standard
# library only; there is nothing to compile. Checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import harness_2'
