#!/usr/bin/env bash
# Symptom: an accepted configuration does not take effect, or is reverted.
# Sequence: a change is submitted; a second one based on the old generation
#   conflicts; the platform fails; a host restarts during the outage.
# Cause: hosts that depend on the platform at start, or that adopt an older
#   generation.
source "$(dirname "$0")/harness.sh"
cuminctl=$BUILD/tools/cuminctl

start_cluster 3 "$SOURCE/examples/sneachta.toml" east-1 east-2 east-3
"$cuminctl" show --platform "$PLATFORM" >"$WORK/mine.toml"
cp "$WORK/mine.toml" "$WORK/theirs.toml"
sed -i 's/max_in_flight = 160/max_in_flight = 161/' "$WORK/theirs.toml"
sed -i 's/max_in_flight = 160/max_in_flight = 162/' "$WORK/mine.toml"
"$cuminctl" submit --platform "$PLATFORM" "$WORK/theirs.toml" |
  grep -q "generation 2" || fail "the change was not accepted"
status=0
"$cuminctl" submit --platform "$PLATFORM" "$WORK/mine.toml" \
  >"$WORK/conflict" || status=$?
((status == 5)) || fail "no conflict reported: $(cat "$WORK/conflict")"
grep -q 'workspace "newsagents"' "$WORK/conflict" ||
  fail "the conflicting entry is not named: $(cat "$WORK/conflict")"

in_force() {
  "$cuminctl" status "127.0.0.1:$1" | grep -q "generation=2"
}
for port in "${CALLER_PORTS[@]}"; do
  wait_for 9 in_force "$port"
done
"$BUILD/utils/ask" --direct --daemon "127.0.0.1:${CALLER_PORTS[0]}" \
  --credential example-newsagents --model reply --kilobytes 4 >/dev/null
"$cuminctl" report --platform "$PLATFORM" --seconds 0 \
  "${CALLER_PORTS[@]/#/127.0.0.1:}" >"$WORK/report"
grep -q "^newsagents .*long\|^newsagents .*short" "$WORK/report" ||
  fail "the workspace is missing in the report: $(cat "$WORK/report")"

"$BUILD/utils/fetch" "$PLATFORM" "/control?outage_ms=600000" - >/dev/null
kill_and_wait "${DAEMON_PIDS[2]}"
start_daemon 2
wait_for 3 in_force "${CALLER_PORTS[2]}"
"$BUILD/utils/ask" --direct --daemon "127.0.0.1:${CALLER_PORTS[2]}" \
  --credential example-newsagents --model reply --kilobytes 4 >/dev/null ||
  fail "a restarted host does not serve during an outage"
