#!/usr/bin/env bash
# Guards against a request that crashes every upstream it is sent to, over all
# daemons, however often its caller comes back.
source "$(dirname "$0")/platform.sh"
start_platform 3
for index in 3 4 5 6 7 8; do
  start_replica "e$index" engines m
  start_replica "s$index" orders
done

# ended NAME: upstreams that ran requests whose ids begin so, and ended.
ended() { cat "$WORK"/[es]?.log | grep -c "^run $1-" || true; }
# send_to_all NAME PATH: three times to each daemon; none serves it.
send_to_all() {
  local i
  for ((i = 0; i < 9; ++i)); do
    ask $((i % 3)) "$1-$i" "$2" && fail "$1-$i was served"
  done
  return 0
}
# is_known_everywhere NAME: every daemon holds back the request of attempts whose
# ids begin so.
is_known_everywhere() {
  local digest index
  digest=$(cat "$WORK"/entry-?.log | sed -n \
    "s/.*\"attempt_failed\",\"id\":\"$1-[^\"]*\".*\"digest\":\"\([^\"]*\)\".*/\1/p" |
    head -1)
  for index in 0 1 2; do
    grep -q "\"event\":\"request_quarantined\",\"digest\":\"$digest\"" \
      "$WORK/entry-$index.log" || return 1
  done
}
# expect_held_back NAME PATH: nothing more ends under it, and its caller is told
# that it has not run.
expect_held_back() {
  local before
  before=$(ended "$1")
  send_to_all "$1" "$2"
  (($(ended "$1") == before)) ||
    fail "$(($(ended "$1") - before)) upstreams more ended under $1"
  expect_status 503 0 "$1-last" "$2"
}

# Three engines end in one attempt of its caller.
earn_retries 0 /resume/x
ask 0 stream-first /resume/crash/ && fail "stream-first was served"
(($(ended stream) == 3)) || fail "$(ended stream) engines ended, not 3"
wait_for 3 is_known_everywhere stream || true
expect_held_back stream /resume/crash/
# What may not be repeated ends one upstream an attempt, at any daemon.
for index in 0 1 2; do
  ask $index "once-$index" /once/crash/ && fail "once-$index was served"
done
(($(ended once) == 3)) || fail "$(ended once) services ended, not 3"
wait_for 3 is_known_everywhere once || true
expect_held_back once /once/crash/
# From the id of a request that was held back to its cause.
"$BUILD/tools/cuminctl" explain stream-last "$WORK"/entry-0.log >"$WORK/story"
digest=$(sed -n 's/.*digest=\([0-9a-f]*\).*/\1/p' "$WORK/story" | head -1)
grep -q "request_ended.*reason=upstreams crash under this request" "$WORK/story" ||
  fail "no cause in $(cat "$WORK/story")"
grep -q "attempt_failed.*\"digest\":\"$digest\"" "$WORK/entry-0.log" ||
  fail "no attempt of $digest"
# Other requests are served.
for index in 0 1 2; do
  ask $index "other-$index" /resume/x || fail "other: $(cat "$WORK/err")"
done

# With all daemons killed at once it is still known.
kill -9 "${DAEMON_PIDS[@]}"
for index in 0 1 2; do
  start_platform_daemon "$index"
done
for index in 0 1 2; do
  wait_for 10 is_platform_ready "$index"
done
expect_held_back stream /resume/crash/
expect_held_back once /once/crash/
