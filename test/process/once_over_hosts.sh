#!/usr/bin/env bash
# Symptom: a request that must run at most once runs twice.
# Sequence: a request is sent and repeated through every host; a host is killed
#   and the request repeated; a host is paused with SIGSTOP past every time-out
#   while requests go to the others, and resumed; the platform is down for 3 s.
# Cause: a host that starts a key without writing the shard journal.
source "$(dirname "$0")/harness.sh"
CREDENTIAL=example-drivers
SERVICE=driver-orders

start_cluster 3 "$SOURCE/examples/sneachta.toml" east-1 east-2 east-3
wait_for 15 all_shards_owned "${CALLER_PORTS[@]}"
key=$(date +%s)-first

first=$(order "${CALLER_PORTS[0]}" "$key")
for port in "${CALLER_PORTS[@]}"; do
  [[ $(order "$port" "$key") == "$first" ]] ||
    fail "a repeated request got another response"
done
order "${CALLER_PORTS[1]}" "$key" '{"crates":41}' >/dev/null 2>&1 &&
  fail "a request with another body was accepted under the same key"

kill -9 "${DAEMON_PIDS[0]}"
wait_for 20 all_shards_owned "${CALLER_PORTS[@]:1}"
order "${CALLER_PORTS[1]}" "$key" >/dev/null 2>&1 || true

start_daemon 0
wait_for 10 is_ready "${CALLER_PORTS[0]}"
kill -STOP "${DAEMON_PIDS[1]}"
wait_for 20 all_shards_owned "${CALLER_PORTS[0]}" "${CALLER_PORTS[2]}"
for i in 1 2 3 4 5 6 7 8; do
  wait_for 10 order "${CALLER_PORTS[2]}" "$(date +%s)-frozen-$i"
done
kill -CONT "${DAEMON_PIDS[1]}"
for i in 1 2 3 4 5 6 7 8; do
  order "${CALLER_PORTS[1]}" "$(date +%s)-frozen-$i" >/dev/null 2>&1 || true
done

"$BUILD/utils/fetch" "$PLATFORM" "/control?outage_ms=3000" - >/dev/null
late=$(date +%s)-outage
order "${CALLER_PORTS[2]}" "$late" >/dev/null 2>"$WORK/refused" &&
  fail "a request ran while the journal was unavailable"
grep -q "status 503" "$WORK/refused" || fail "$(cat "$WORK/refused")"
wait_for 15 order "${CALLER_PORTS[2]}" "$late"

[[ $(doubled_runs) == 0 ]] || fail "$(doubled_runs) keys ran twice"
