#!/usr/bin/env bash
# Guards against requests to a draining upstream from a daemon that the store turns away.
source "$(dirname "$0")/platform.sh"
COUNT=3
start_stand_in store store_stand_in --second 127.0.0.1:0
STORE=$ADDRESS
SECOND=$(sed -n 's/^also listening on //p' "$WORK/store.log")
put_configuration 1
for name in s1 s2 s3; do
  start_replica $name orders
  declare "ADDRESS_$name=$ADDRESS"
done
make_ports $((5 * COUNT))
SEEDS="\"127.0.0.1:${PORTS[3]}\""
DAEMON_PIDS=()
for ((i = 0; i < COUNT; ++i)); do
  PROVIDER=$STORE
  ((i == 0)) && PROVIDER=$SECOND
  start_platform_daemon "$i"
  DAEMON_PIDS+=("$PID")
done
for ((i = 0; i < COUNT; ++i)); do
  wait_for 10 is_platform_ready "$i"
done

second_fault() {
  "$BUILD/utils/fetch" "$STORE" "/fault?mode=$1&at=$SECOND" - >/dev/null
}
has_lost_store() {
  [[ $(grep -oE '"event":"dependency_(lost|regained)"' "$WORK/entry-0.log" |
    tail -1) == *lost* ]]
}
has_store() { ! has_lost_store; }
millis() { awk '{ print int($1 * 1000) }' /proc/uptime; }

# While the first daemon is turned away an upstream drains, and a peer that may
# be asked stands still.
for ((round = 0; round < 4; ++round)); do
  second_fault refuse
  wait_for 5 has_lost_store
  name=s$((1 + round % 2)) address="ADDRESS_s$((1 + round % 2))"
  list_replica "$name" orders "${!address}" draining
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
  second_fault none
  wait_for 5 has_store
  list_replica "$name" orders "${!address}" ready
  wait_for 5 eval 'grep "upstreams_changed" "$WORK/entry-0.log" | tail -1 |
    grep -q "\"added_items\":\"$name@[0-9.:]*\""'
done
