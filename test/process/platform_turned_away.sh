#!/usr/bin/env bash
# Guards against requests to a draining upstream from a daemon that cannot reach
# the store and must get the change from its peers.
source "$(dirname "$0")/platform.sh"
COUNT=3
start_store
put_configuration 1
declare -A addresses
for name in s1 s2 s3; do
  start_replica $name orders
  addresses[$name]=$ADDRESS
done
start_platform_daemons $COUNT 0

# check_draining ROUND MODE PEER STOP_MS: an upstream starts draining while the
# first daemon cannot reach the store, and STOP_MS later a peer that it may ask
# is paused.
check_draining() {
  local name=s$((1 + $1 % 2)) drained phase stopped=0
  store_fault "$2" "$SECOND"
  if [[ $2 == refuse ]]; then
    wait_for 5 has_lost_store 0
  else
    # A change ends the watch that began before the fault.
    list_replica s3 orders "${addresses[s3]}" ready
    read -rt 0.13 <> <(:) || true
  fi
  list_replica "$name" orders "${addresses[$name]}" draining
  drained=$(millis)
  until (($(millis) > drained + 3000)); do
    if ((stopped == 0 && $(millis) > drained + $4)); then
      stopped=${DAEMON_PIDS[$3]}
      kill -STOP "$stopped"
    fi
    phase=soon
    (($(millis) > drained + 2000)) && phase=late
    ask 0 "$phase-$1-$RANDOM" /repeat/x || fail "$phase: $(cat "$WORK/err")"
  done
  kill -CONT "$stopped"
  expect_no_log_line "run late-$1" "$name"
  store_fault none "$SECOND"
  wait_for 5 has_store 0
  list_replica "$name" orders "${addresses[$name]}" ready
  wait_for 5 eval 'grep "upstreams_changed" "$WORK/entry-0.log" | tail -1 |
    grep -q "\"added_items\":\"'"$name"'@[0-9.:]*\""'
}
round=0
for peer in 1 2; do
  check_draining $((round++)) refuse "$peer" 1200
  check_draining $((round++)) silent "$peer" 1050
done
# The daemon chooses the peer to ask by the number of its request, so each of
# them is paused in both orders, and also before it is asked the first time.
for peer in 2 1; do
  check_draining $((round++)) silent "$peer" 1050
  check_draining $((round++)) silent "$peer" 500
done
