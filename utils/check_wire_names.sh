#!/usr/bin/env bash
# Fails when a protocol name of the users' platform is used outside platform/
# and its tests, so that the product can be read without the platform's
# documentation.
set -euo pipefail
cd "$(dirname "$0")/.."
names='X-(Attempt-Id|Deadline-Ms|Prompt-Prefix|Replica-|Tenant|Not-Executed|Model|Token-Usage|Cache-Salt|Request-Priority|Kv-|Weight-Versions|Expect-|Pin-Ms|Hold|Length-Hint)|Kv-From|Server-Limit'
names+='|/kv-(key|range|watch|txn|lease|keep|events|list|handle|pin|move)|/resolve|op/(config|version)|"servers/'
names+='|(path-prefix|api-keys|can-resume|goal-ms|gap-aim-ms|store-revision|has-more|max-conns|kv-store-addr|token-kv-bytes|cold-left-ms|max-inflight|heartbeat-ms|node-name|instance-class|seed-stale-s)'
names+='|\b(tenants?|backends?|fleetbench)\b'
if git grep -nEi "$names" -- include lib tools utils/StandIn benchmarks \
    unittests ':!unittests/PlatformAdapter'; then
  echo "check_wire_names: the lines above use names that belong to platform/ only" >&2
  exit 1
fi
