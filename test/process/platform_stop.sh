#!/usr/bin/env bash
# A stopping daemon leaves the address answers at once, serves on, tells late
# callers to go elsewhere, and ends in time and in good order.
source "$(dirname "$0")/platform.sh"
start_platform 2
wait_for 5 eval '"$BUILD/utils/fetch" "$(directory 0)" "/resolve?name=h" |
  grep -q "$(front 1)"'

kill -TERM "${DAEMON_PIDS[1]}"
wait_for 2 eval '! "$BUILD/utils/fetch" "$(directory 0)" "/resolve?name=h" |
  grep -q "$(front 1)"'
! is_platform_ready 1 || fail "a stopping daemon says that it is ready"
ask 1 late /stream/x
[[ $(grep -c "data: event" "$WORK/out") == 5 ]] || fail "it serves no more"
wait "${DAEMON_PIDS[1]}" || fail "it ended with status $?"
grep -q '"event":"stopped","requests":0' "$WORK/entry-1.log" ||
  fail "it did not end in good order"
ask 0 after /stream/x

# Bad settings are all told together.
sed -i 's/^zone.*/zone = 3/; s/^ready.*/ready = "nowhere"/' \
  "$WORK/entry-0.toml"
! "$BUILD/tools/cuminswitchd" --platform --check "$WORK/entry-0.toml" \
  2>"$WORK/err" || fail "bad settings pass"
grep -q "zone: a text is needed" "$WORK/err" || fail "$(cat "$WORK/err")"
grep -q 'listen.ready: "nowhere" is not an address' "$WORK/err" ||
  fail "$(cat "$WORK/err")"
