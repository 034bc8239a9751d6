#!/usr/bin/env bash
# Demonstrates the request path on loopback: starts stand-ins and three daemons
# in different failure domains, submits a document, and sends one long prompt
# twice.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
WORK=$(mktemp -d)
source utils/cluster.sh
trap 'stop_all; rm -rf "$WORK"' EXIT

echo "== platform stand-in, twelve engines and four services"
UPSTREAM_ADDRESSES=()
start_stand_in platform platform_stand_in
platform=$ADDRESS
start_upstreams examples/slovak.toml "$WORK/slovak.toml"

echo "== three daemons in three failure domains"
start_daemons 3 "$platform" west-1 west-2 west-3

echo "== cuminctl check and submit"
"$BUILD/tools/cuminctl" check "$WORK/slovak.toml"
"$BUILD/tools/cuminctl" submit --platform "$platform" "$WORK/slovak.toml"
for port in "${CALLER_PORTS[@]}"; do
  wait_for 10 is_ready "$port"
done

ask() {
  "$BUILD/utils/ask" --daemon "127.0.0.1:${CALLER_PORTS[0]}" \
    --credential example-tatry-wholesale --model contract-reader
}
echo "== the first request prefills the contract"
ask | tee "$WORK/first"
echo "== the second request finds it cached"
ask | tee "$WORK/second"

value() { sed -n "s/.*$1=\([0-9]*\).*/\1/p" "$2"; }
if (($(value cached_tokens "$WORK/second") > 0)) &&
  (($(value first_token_ms "$WORK/second") < \
  $(value first_token_ms "$WORK/first"))); then
  echo "== prefix cache hit: the time to first token decreased"
else
  echo "== no prefix cache hit" >&2
  exit 1
fi
