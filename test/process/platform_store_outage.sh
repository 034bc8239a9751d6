#!/usr/bin/env bash
# Symptom: a daemon that cannot reach the store keeps an outdated configuration,
# or one that starts during the outage refuses valid requests.
# Sequence: the store refuses calls, is unresponsive, and recovers; daemons
# serve requests and start meanwhile.
source "$(dirname "$0")/platform.sh"
start_platform 2

for mode in refuse silent; do
  store_fault "$mode"
  wait_for 10 eval 'tail -50 "$WORK/entry-0.log" | grep -q dependency_lost'
  ask 0 "during-$mode" /stream/x
  ask 1 "during-once-$mode" /once/x
  store_fault none
  wait_for 10 eval 'tail -50 "$WORK/entry-0.log" | grep -q dependency_regained'
done

# A daemon that starts while the store is unavailable gets all entries from a
# peer.
store_fault refuse
kill_and_wait "${DAEMON_PIDS[1]}"
: >"$WORK/entry-1.log"
start_platform_daemon 1
wait_for 10 is_platform_ready 1
wait_for 5 grep -q items_from_peer "$WORK/entry-1.log"
ask 1 started-without-store /stream/x

# A daemon without store and peers refuses requests with 503 and never with 404.
kill_and_wait "${DAEMON_PIDS[0]}" "$PID"
: >"$WORK/entry-0.log"
start_platform_daemon 0
wait_for 10 grep -q dependency_lost "$WORK/entry-0.log"
expect_status 503 0 alone /stream/x
expect_status 503 0 alone-too /nothing/x

# It serves after the recovery of the store.
store_fault none
wait_for 10 is_platform_ready 0
ask 0 back /stream/x
