#!/usr/bin/env bash
# Runs the fault-injection soak test for a range of seeds, several at a time,
# and prints the result of each. The logs of seeds with a violation stay in
# WORK.
#
#   utils/soak.sh FIRST LAST [SECONDS [AT_A_TIME]]
#
# SOAK_OPTIONS: further options for each run, such as "--limits --daemons 6".
set -euo pipefail
cd "$(dirname "$0")/.."
first=$1 last=$2 seconds=${3:-10} at_a_time=${4:-4}
BUILD=${BUILD:-build}
WORK=${WORK:-$(mktemp -d)}
run_seed() {
  # shellcheck disable=SC2086
  "$BUILD/test/soak" ${SOAK_OPTIONS:-} --seed "$1" --seconds "$2" \
    --build "$BUILD" \
    --work "$WORK/seed-$1" | grep -v "^  fault:"
}
export BUILD WORK SOAK_OPTIONS=${SOAK_OPTIONS:-}
export -f run_seed
if seq "$first" "$last" |
  xargs -P "$at_a_time" -I{} bash -c "set -o pipefail; run_seed {} $seconds"; then
  rmdir "$WORK"
else
  echo "logs are in $WORK" >&2
  exit 1
fi
