#!/usr/bin/env bash
# Guards against a stopping daemon that exits without a response to requests
# that its upstreams do not answer in time.
EXTRA_ROUTES='{"name":"long","host":"h","path-prefix":"/long/",
  "kind":"non_idempotent","timeout-ms":20000,"backend":"orders","attempts":1}'
source "$(dirname "$0")/platform.sh"
start_platform 1
# The services of start_platform, after the store and two engines.
kill -STOP "${started_pids[@]:3:2}"
DEADLINE_MS=20000 ask 0 unanswered /long/x &
asked=$!
wait_for 5 grep -q '"event":"attempt_placed".*unanswered' "$WORK/entry-0.log"
kill -TERM "${DAEMON_PIDS[0]}"
wait "$asked" || true
grep -q "status 502" "$WORK/err" ||
  fail "no response before the daemon exited: $(cat "$WORK/err")"
wait "${DAEMON_PIDS[0]}" || fail "the daemon exited with status $?"
