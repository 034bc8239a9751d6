#!/usr/bin/env bash
# Guards against requests to a draining upstream from a daemon that the store turns away.
source "$(dirname "$0")/platform.sh"
COUNT=3
start_store
put_configuration 1
declare -A addresses
for name in s1 s2 s3; do
  start_replica $name orders
  addresses[$name]=$ADDRESS
done
start_daemons_apart $COUNT 0

# While the first daemon is turned away an upstream drains, and a peer that may
# be asked stands still.
for ((round = 0; round < 4; ++round)); do
  store_fault refuse "$SECOND"
  wait_for 5 has_lost_store 0
  name=s$((1 + round % 2))
  list_replica "$name" orders "${addresses[$name]}" draining
  drained=$(millis)
  stopped=0
  until (($(millis) > drained + 3000)); do
    if ((stopped == 0 && $(millis) > drained + 1200)); then
      stopped=${DAEMON_PIDS[1 + round / 2]}
      kill -STOP "$stopped"
    fi
    phase=soon
    (($(millis) > drained + 2000)) && phase=late
    ask 0 "$phase-$round-$RANDOM" /repeat/x || fail "$phase: $(cat "$WORK/err")"
  done
  kill -CONT "$stopped"
  count=$(grep -c "^run late-$round" "$WORK/$name.log" || true)
  ((count == 0)) || fail "$name drains and ran $count requests late"
  store_fault none "$SECOND"
  wait_for 5 has_store 0
  list_replica "$name" orders "${addresses[$name]}" ready
  wait_for 5 eval 'grep "upstreams_changed" "$WORK/entry-0.log" | tail -1 |
    grep -q "\"added_items\":\"$name@[0-9.:]*\""'
done
