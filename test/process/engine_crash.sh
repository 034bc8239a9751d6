#!/usr/bin/env bash
# Symptom: a caller takes a truncated streamed response for a complete one.
# Sequence: all engines crash in the middle of a streamed response.
# Cause: the end of a lost connection looks like the end of the response unless
#   the terminal event, [DONE], is required.
source "$(dirname "$0")/harness.sh"
ENGINE_OPTIONS="--decode-ms 100"

start_cluster 1 "$SOURCE/examples/sneachta.toml" east-1
"$BUILD/utils/ask" --direct --daemon "127.0.0.1:${CALLER_PORTS[0]}" \
  --credential example-newsagents --model reply --kilobytes 4 \
  >"$WORK/ask" 2>&1 &
asker=$!
streaming() {
  "$BUILD/utils/fetch" "127.0.0.1:${CALLER_PORTS[0]}" /metrics |
    grep -q '^cuminswitch_first_token_seconds_count{workspace="newsagents"} 1'
}
wait_for 10 streaming
for address in "${UPSTREAM_ADDRESSES[@]}"; do
  "$BUILD/utils/fetch" "$address" "/control?crash=1" - >/dev/null 2>&1 || true
done
wait "$asker" && fail "a truncated stream counts as complete: $(cat "$WORK/ask")"
grep -q "event: error" "$WORK/ask" || fail "no error event: $(cat "$WORK/ask")"
grep -q '"outcome":"unknown"' "$WORK/ask" || fail "$(cat "$WORK/ask")"
grep -q "DONE" "$WORK/ask" && fail "a truncated stream ended with the terminal event"
wait_for 10 "$BUILD/utils/ask" --daemon "127.0.0.1:${CALLER_PORTS[0]}" \
  --credential example-newsagents --model reply --kilobytes 4
