# Sourced by the process tests: creates a scratch folder, stops all processes
# and removes the folder on exit, and defines helpers.
set -euo pipefail
SOURCE=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
BUILD=${BUILD:?}
WORK=$(mktemp -d)
source "$SOURCE/utils/cluster.sh"

on_exit() {
  local status=$?
  stop_all
  if ((status != 0)); then
    for log in "$WORK"/entry-*.log; do
      [[ -e $log ]] && { echo "--- $log"; tail -5 "$log"; }
    done
  fi
  rm -rf "$WORK"
  exit "$status"
}
trap on_exit EXIT

fail() {
  echo "FAILED: $*" >&2
  exit 1
}

# start_cluster COUNT DOCUMENT DOMAIN...: starts a platform, the upstreams of
# the configuration document and COUNT daemons, and waits until all are ready.
start_cluster() {
  local count=$1 document=$2 port
  shift 2
  start_stand_in platform platform_stand_in --list-lag-ms 3000
  PLATFORM=$ADDRESS
  UPSTREAM_ADDRESSES=()
  start_upstreams "$document" "$WORK/document.toml" ${ENGINE_OPTIONS:-}
  start_daemons "$count" "$PLATFORM" "$@"
  "$BUILD/tools/cuminctl" submit --platform "$PLATFORM" \
    "$WORK/document.toml" >/dev/null
  for port in "${CALLER_PORTS[@]}"; do
    wait_for 10 is_ready "$port"
  done
}

# owned_shards PORT: prints the number of shards that the daemon owns.
owned_shards() {
  "$BUILD/tools/cuminctl" status "127.0.0.1:$1" | sed -n 's/.*shards=//p' |
    head -1
}

# all_shards_owned PORT...: whether the daemons together own all 16 shards.
all_shards_owned() {
  local port sum=0
  for port in "$@"; do
    sum=$((sum + $(owned_shards "$port")))
  done
  ((sum == 16))
}

# order PORT KEY [BODY]: sends a request that must run at most once, with KEY as
# its idempotency key.
order() {
  FETCH_HEADERS="Authorization: Bearer ${CREDENTIAL:?}
Content-Type: application/json
Idempotency-Key: $2" "$BUILD/utils/fetch" "127.0.0.1:$1" \
    "/services/${SERVICE:?}/place" "${3:-"{\"crates\":40}"}"
}

# doubled_runs: prints the number of keys that the services ran more than once.
doubled_runs() {
  local address sum=0
  for address in "${UPSTREAM_ADDRESSES[@]}"; do
    sum=$((sum + $("$BUILD/utils/fetch" "$address" /control/runs 2>/dev/null |
      sed -n 's/.*"doubled":\([0-9]*\).*/\1/p;$a 0' | head -1)))
  done
  echo "$sum"
}
