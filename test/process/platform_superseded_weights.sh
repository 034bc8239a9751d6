#!/usr/bin/env bash
# Guards against requests that begin on superseded weights after their bound, at
# a daemon that was suspended when the new weights were published.
source "$(dirname "$0")/platform.sh"
VERSION_MS=4000
SUSPENSION_MS=2500
BOUNDS="version-ms = $VERSION_MS"
# No leader may command the engines until all is over.
LEADER_GAP_MS=20000
start_platform 3
wait_for 10 eval 'grep -hq lead_taken "$WORK"/entry-?.log'

has_version() { grep -q '"weights":"m=2"' "$WORK/entry-$1.log"; }
# count_started INDEX FIRST LAST: sends requests to the daemon from FIRST to LAST
# milliseconds after the publication, and prints how many were served.
count_started() {
  local at served=0 number=0
  while at=$(($(millis) - published)) && ((at < $3)); do
    if ask "$1" "$1-$2-$((number += 1))" /stream/x && ((at > $2)); then
      served=$((served + 1))
    fi
  done
  echo "$served"
}

# The leader fails, and of the others one is suspended, so that the version
# arrives late there.
leader=$(grep -l lead_taken "$WORK"/entry-?.log | sed 's/.*entry-\(.\).log/\1/')
prompt=$(((leader + 1) % 3))
late=$(((leader + 2) % 3))
kill -9 "${DAEMON_PIDS[$leader]}"
kill -STOP "${DAEMON_PIDS[$late]}"
# Heartbeats from before the publication wait at the suspended daemon.
for number in 1 2 3 4 5; do
  ask "$prompt" "before-$number" /stream/x || fail "before-$number was not served"
done
put op/version/m '{"model":"m","version":2}'
published=$(millis)
wait_for 5 has_version "$prompt"
(($(count_started "$prompt" 0 "$SUSPENSION_MS") > 0)) ||
  fail "superseded weights did not serve before their bound"
kill -CONT "${DAEMON_PIDS[$late]}"
wait_for 5 has_version "$late"
(($(millis) - published < VERSION_MS)) || fail "the version arrived too late"
wait_for 1 eval 'ask "$late" "resumed-$RANDOM" /repeat/x'
after=$(count_started "$late" "$VERSION_MS" $((VERSION_MS + SUSPENSION_MS)))
grep -q '"reason":"no upstream can take it now"' "$WORK/entry-$late.log" ||
  fail "daemon $late did not refuse for lack of an upstream"
((after == 0)) || fail "$after requests were sent to superseded weights"
