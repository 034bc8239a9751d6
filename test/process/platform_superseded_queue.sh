#!/usr/bin/env bash
# Guards against responses that end at a deadline which the daemon gave the
# engine for its queue: they have begun, and their callers wait for longer.
source "$(dirname "$0")/platform.sh"
VERSION_MS=3000
CALLERS=10
BOUNDS="version-ms = $VERSION_MS"
# No leader may command the engines until all is over.
LEADER_GAP_MS=20000
DEADLINE_MS=5000
# play: publishes weights, sends the streams just before the bound and counts
# those that are cut.
play() {
  local published i pid pids
  start_platform 1
  wait_for 10 grep -q lead_taken "$WORK/entry-0.log"
  wait_for 5 ask 0 before /stream/x

  put op/version/m '{"model":"m","version":2}'
  published=$(millis)
  wait_for 2 grep -q '"weights":"m=2"' "$WORK/entry-0.log"
  wait_for 3 eval '(($(millis) - published > VERSION_MS - 1250))'
  # Each slow stream takes a second, and ends after the bound.
  pids=()
  for ((i = 0; i < CALLERS; ++i)); do
    WORK="$WORK" ask 0 "late-$i" /stream/slow/x >/dev/null 2>&1 &
    pids+=("$!")
  done
  cut=0
  for pid in "${pids[@]}"; do
    wait "$pid" || cut=$((cut + 1))
  done
}

# last_arrival: prints how many milliseconds after the publication the first log
# line of the last stream was written.
last_arrival() {
  awk -F'[:,]' '/"weights":"m=2"/ && !published { published = $2 }
    match($0, /"id":"late-[0-9]*"/) {
      id = substr($0, RSTART, RLENGTH)
      if (!(id in seen)) { seen[id] = 1; last = $2 }
    }
    END { print last - published }' "$WORK/entry-0.log"
}

# On a busy machine the streams may arrive when they can no longer begin. Such a
# round shows nothing, and is played again from the start.
round=1
play
while (($(last_arrival) > VERSION_MS - 900)); do
  ((++round <= 3)) || fail "the streams arrived $(last_arrival) ms after the" \
    "publication, three times"
  stop_all
  rm -f "$WORK"/*.log
  play
done
placed=$(grep '"attempt_placed"' "$WORK/entry-0.log" |
  grep -c '"id":"late-' || true)
((placed >= CALLERS)) || fail "only $placed of $CALLERS requests were placed"
((cut == 0)) || fail "$cut of $CALLERS responses were cut or refused:" \
  "$(grep -E 'attempt_failed|request_ended' "$WORK/entry-0.log" |
    grep -v answered | head -3 | cut -c1-260)"
grep -q "^reserved late-" "$WORK"/e?.log ||
  fail "no request had to reserve a slot"
