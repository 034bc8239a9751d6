#!/usr/bin/env bash
# Runs one experiment: for each policy and seed, plays the same trace against
# newly started daemons and stand-ins. Usage:
#
#   utils/experiment.sh OUTPUT.jsonl WORKLOAD RATE SECONDS "SEEDS" "POLICIES" \
#     [LOAD_TOOL_OPTION...]
#
# HOSTS sets the number of daemons (default 8). Engines cache CACHE_BLOCKS
# blocks of 64 tokens (default 900) for CACHE_KEEP_MS after their last use
# (default 8000).
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
output=$1 workload=$2 rate=$3 seconds=$4 seeds=$5 policies=$6
shift 6
CACHE_BLOCKS=${CACHE_BLOCKS:-900}
CACHE_KEEP_MS=${CACHE_KEEP_MS:-8000}
engines=12 domains=(west-1 west-2 west-3 west-4)
if [[ $workload == sneachta ]]; then
  engines=9 domains=(east-1 east-2 east-3)
fi

join() { local IFS=,; echo "$*"; }

run_once() {
  local policy=$1 seed=$2
  shift 2
  WORK=$(mktemp -d)
  source utils/cluster.sh
  trap 'stop_all; rm -rf "$WORK"' EXIT
  POLICY=$policy
  UPSTREAM_ADDRESSES=()
  start_stand_in platform platform_stand_in
  local platform=$ADDRESS port
  start_upstreams "examples/$workload.toml" "$WORK/document.toml" \
    --cache-blocks "$CACHE_BLOCKS" --cache-keep-ms "$CACHE_KEEP_MS" \
    ${ENGINE_OPTIONS:-}
  start_daemons "${HOSTS:-8}" "$platform" "${domains[@]}"
  "$BUILD/tools/cuminctl" submit --platform "$platform" \
    "$WORK/document.toml" >/dev/null
  for port in "${CALLER_PORTS[@]}"; do
    wait_for 10 is_ready "$port"
  done
  # Waits until slow start and shard claims are finished.
  read -rt 4 <> <(:) || true
  "$BUILD/utils/load_tool" --workload "$workload" --rate "$rate" \
    --seconds "$seconds" --seed "$seed" --label "$policy" \
    --daemons "$(join "${CALLER_PORTS[@]/#/127.0.0.1:}")" \
    --upstreams "$(join "${UPSTREAM_ADDRESSES[@]}")" \
    --pids "$(join "${DAEMON_PIDS[@]}")" --engines "$engines" \
    --cache-blocks "$CACHE_BLOCKS" --cache-keep-ms "$CACHE_KEEP_MS" \
    --json "$output" "$@" >"$WORK/report"
  grep -E '"(hit_rate|first_token_p99|goodput|answered)"' "$WORK/report" |
    tr -d '\n'
  echo " $policy seed $seed rate $rate"
}

for seed in $seeds; do
  for policy in $policies; do
    (run_once "$policy" "$seed" "$@")
  done
done
