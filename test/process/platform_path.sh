#!/usr/bin/env bash
# Checks requests from caller to upstream, with a store, for each kind of route
# and of failure.
source "$(dirname "$0")/platform.sh"
start_platform 2

"$BUILD/utils/fetch" "$(directory 0)" "/resolve?name=h" >"$WORK/out"
wait_for 5 eval '"$BUILD/utils/fetch" "$(directory 0)" "/resolve?name=h" |
  grep -q "$(front 1)"'

ask 0 a1 /stream/x
[[ $(grep -c "data: event" "$WORK/out") == 5 ]] || fail "not five events"
[[ $(runs a1) == 1 ]] || fail "a1 ran $(runs a1) times"
grep -hq "^run a1 w1 [0-9a-f]" "$WORK"/e?.log || fail "no workspace or salt"
ask 1 a2 /once/x
grep -q "answer of s" "$WORK/out" || fail "no response of a service"

# An isolated workspace gets its own cache salt.
ask 0 a3 /stream/x key2
salt() { cat "$WORK"/e?.log | sed -n "s/^run $1 w[12] //p"; }
[[ $(salt a1) != "$(salt a3)" ]] || fail "an isolated workspace shares its salt"

expect_status 404 0 b1 /nothing/x
expect_status 401 0 b2 /stream/x wrong
# Refused by every upstream: the request does not run, and the status says so.
expect_status 503 0 b3 /once/refuse/x
[[ $(runs b3) == 0 ]] || fail "b3 ran"
# Failed while running: the failure is forwarded, and the request ran once.
expect_status 500 0 b4 /once/fail/x
[[ $(runs b4) == 1 ]] || fail "b4 ran $(runs b4) times"
# An idempotent request is retried at a second upstream.
earn_retries 0 /repeat/x
expect_status 500 0 b5 /repeat/fail/x
[[ $(runs b5) == 2 ]] || fail "b5 ran $(runs b5) times"
# No response: the outcome is unknown, and the request is not retried.
DEADLINE_MS=400 expect_status 504 0 b6 /once/hang/x
[[ $(runs b6) == 1 ]] || fail "b6 ran $(runs b6) times"

# A truncated stream is resumed at another engine if its route allows it, with
# each event once; otherwise its end is an error.
earn_retries 0 /resume/x
ask 0 c1 /resume/cut/x
[[ $(grep "^id:" "$WORK/out" | tr -d '\n') == "id: 1id: 2id: 3id: 4id: 5" ]] ||
  fail "the resumed stream is $(cat "$WORK/out")"
! ask 0 c2 /stream/cut/x || fail "a truncated stream counts as complete"
[[ $(runs c2) == 1 ]] || fail "c2 ran $(runs c2) times"

# A draining upstream gets no further requests; the other one gets them.
s1=$(sed -n 's/^listening on //p' "$WORK/s1.log")
list_replica s1 orders "$s1" draining
s1_runs=$(grep -c "^run" "$WORK/s1.log" || true)
wait_for 5 eval 'ask 0 d$RANDOM /once/x; grep -q "answer of s2" "$WORK/out" &&
  grep -q "s1@$s1/draining" "$WORK/entry-0.log"'
s1_runs=$(grep -c "^run" "$WORK/s1.log" || true)
for i in 1 2 3 4 5 6; do
  ask 0 "e$i" /once/x
done
[[ $(grep -c "^run" "$WORK/s1.log" || true) == "$s1_runs" ]] ||
  fail "a draining upstream got requests"
