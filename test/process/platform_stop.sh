#!/usr/bin/env bash
# Checks that a stopping daemon is removed from resolved addresses at once, is
# not ready, still serves requests, and exits in time with status 0.
source "$(dirname "$0")/platform.sh"
start_platform 2
wait_for 5 eval '"$BUILD/utils/fetch" "$(directory 0)" "/resolve?name=h" |
  grep -q "$(front 1)"'

kill -TERM "${DAEMON_PIDS[1]}"
wait_for 2 eval '! "$BUILD/utils/fetch" "$(directory 0)" "/resolve?name=h" |
  grep -q "$(front 1)"'
! is_platform_ready 1 || fail "a stopping daemon reports that it is ready"
ask 1 late /stream/x
[[ $(grep -c "data: event" "$WORK/out") == 5 ]] ||
  fail "a stopping daemon did not serve a request"
wait "${DAEMON_PIDS[1]}" || fail "the daemon exited with status $?"
grep -q '"event":"stopped","requests":0' "$WORK/entry-1.log" ||
  fail "the daemon exited without the event stopped with 0 requests"
ask 0 after /stream/x

# All errors in the settings are reported at once.
sed -i 's/^zone.*/zone = 3/; s/^ready.*/ready = "nowhere"/' \
  "$WORK/entry-0.toml"
! "$BUILD/tools/cuminswitchd" --platform --check "$WORK/entry-0.toml" \
  2>"$WORK/err" || fail "invalid settings are accepted"
grep -q "zone: a text is needed" "$WORK/err" || fail "$(cat "$WORK/err")"
grep -q 'listen.ready: "nowhere" is not an address' "$WORK/err" ||
  fail "$(cat "$WORK/err")"
