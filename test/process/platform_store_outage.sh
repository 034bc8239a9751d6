#!/usr/bin/env bash
# Symptom: a daemon that the store turns away keeps an old configuration, or
# one that starts then refuses what is allowed.
# Sequence: the store refuses, falls silent, and comes back; daemons serve,
# start, and learn meanwhile.
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

# A daemon that starts while the store is away learns all from a peer.
store_fault refuse
kill -9 "${DAEMON_PIDS[1]}"
: >"$WORK/entry-1.log"
start_platform_daemon 1
wait_for 10 is_platform_ready 1
wait_for 5 grep -q items_from_peer "$WORK/entry-1.log"
ask 1 started-without-store /stream/x

# One that finds nobody refuses, and never says that a route does not exist.
kill -9 "${DAEMON_PIDS[0]}" "$PID"
: >"$WORK/entry-0.log"
start_platform_daemon 0
wait_for 10 grep -q dependency_lost "$WORK/entry-0.log"
expect_status 503 0 alone /stream/x
expect_status 503 0 alone-too /nothing/x

# With the store back it serves.
store_fault none
wait_for 10 is_platform_ready 0
ask 0 back /stream/x
