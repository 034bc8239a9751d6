#!/usr/bin/env bash
# Guards against a request that crashes every upstream that runs it: its number
# of crashes over all daemons is limited, however often its caller retries.
source "$(dirname "$0")/platform.sh"
start_platform 3
for index in 3 4 5 6 7 8; do
  start_replica "e$index" engines m
  start_replica "s$index" orders
done

# crashed NAME: prints the number of upstreams that ran a request whose id
# begins with NAME, and so crashed.
crashed() { cat "$WORK"/[es]?.log | grep -c "^run $1-" || true; }
# send_to_all NAME PATH: sends the request three times to each daemon and checks
# that none is served.
send_to_all() {
  local i
  for ((i = 0; i < 9; ++i)); do
    ask $((i % 3)) "$1-$i" "$2" && fail "$1-$i was served"
  done
  return 0
}
# is_quarantined_everywhere NAME: whether every daemon has quarantined the
# request of the attempts whose ids begin with NAME.
is_quarantined_everywhere() {
  local digest index
  digest=$(cat "$WORK"/entry-?.log | sed -n \
    "s/.*\"attempt_failed\",\"id\":\"$1-[^\"]*\".*\"digest\":\"\([^\"]*\)\".*/\1/p" |
    head -1)
  for index in 0 1 2; do
    grep -q "\"event\":\"request_quarantined\",\"digest\":\"$digest\"" \
      "$WORK/entry-$index.log" || return 1
  done
}
# expect_quarantined NAME PATH: checks that the request crashes no further
# upstream and is refused with 503.
expect_quarantined() {
  local before
  before=$(crashed "$1")
  send_to_all "$1" "$2"
  (($(crashed "$1") == before)) ||
    fail "$(($(crashed "$1") - before)) more upstreams crashed under $1"
  expect_status 503 0 "$1-last" "$2"
}

# One request of the caller crashes three engines, by retries.
earn_retries 0 /resume/x
ask 0 stream-first /resume/crash/ && fail "stream-first was served"
(($(crashed stream) == 3)) || fail "$(crashed stream) engines crashed, not 3"
wait_for 3 is_quarantined_everywhere stream || true
expect_quarantined stream /resume/crash/
# A request that may not be retried crashes one upstream per request of its
# caller, at any daemon.
for index in 0 1 2; do
  ask $index "once-$index" /once/crash/ && fail "once-$index was served"
done
(($(crashed once) == 3)) || fail "$(crashed once) services crashed, not 3"
wait_for 3 is_quarantined_everywhere once || true
expect_quarantined once /once/crash/
# `cuminctl explain` shows the cause for the id of a quarantined request.
"$BUILD/tools/cuminctl" explain stream-last "$WORK"/entry-0.log >"$WORK/explanation"
digest=$(sed -n 's/.*digest=\([0-9a-f]*\).*/\1/p' "$WORK/explanation" | head -1)
grep -q "request_ended.*reason=upstreams crash under this request" "$WORK/explanation" ||
  fail "no cause in $(cat "$WORK/explanation")"
grep -q "attempt_failed.*\"digest\":\"$digest\"" "$WORK/entry-0.log" ||
  fail "no attempt of $digest"
# Other requests are still served.
for index in 0 1 2; do
  ask $index "other-$index" /resume/x || fail "other: $(cat "$WORK/err")"
done

# The quarantine survives when all daemons are killed at once.
kill_and_wait "${DAEMON_PIDS[@]}"
for index in 0 1 2; do
  start_platform_daemon "$index"
done
for index in 0 1 2; do
  wait_for 10 is_platform_ready "$index"
done
expect_quarantined stream /resume/crash/
expect_quarantined once /once/crash/
