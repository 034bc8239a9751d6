#!/usr/bin/env bash
# Symptom: a graceful stop aborts requests in flight.
# Sequence: a host gets SIGTERM while long streams run through it.
# Cause: a daemon that closes its connections before its streams have ended.
source "$(dirname "$0")/harness.sh"
TIME_TO_LIVE=1
# Long enough for all four streams to be seen running on a busy machine.
ENGINE_OPTIONS="--decode-ms 400"

start_cluster 2 "$SOURCE/examples/sneachta.toml" east-1 east-2
asks=()
for i in 1 2 3 4; do
  "$BUILD/utils/ask" --direct --daemon "127.0.0.1:${CALLER_PORTS[0]}" \
    --credential example-newsagents --model reply --kilobytes "$i" \
    >"$WORK/ask-$i" 2>&1 &
  asks+=("$!")
done
running() {
  "$BUILD/tools/cuminctl" status "127.0.0.1:${CALLER_PORTS[0]}" |
    grep -q "running=4"
}
wait_for 10 running || fail "not all streams run: $("$BUILD/tools/cuminctl" status \
  "127.0.0.1:${CALLER_PORTS[0]}") $(tail -n 3 "$WORK"/ask-*)"
kill -TERM "${DAEMON_PIDS[0]}"
for pid in "${asks[@]}"; do
  wait "$pid" || fail "a stream was aborted: $(cat "$WORK"/ask-*)"
done
wait "${DAEMON_PIDS[0]}" || fail "the daemon exited with status $?"
grep -q "graceful=yes" "$WORK/entry-0.log" || fail "the stop was not graceful"
members=$("$BUILD/tools/cuminctl" addresses --credential example-newsagents \
  "127.0.0.1:${CALLER_PORTS[1]}")
[[ $members != *'"entry-0"'* ]] || fail "a stopped host is still listed for callers"
