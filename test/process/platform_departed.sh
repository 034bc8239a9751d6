#!/usr/bin/env bash
# Guards against requests to upstreams whose entries were removed, from daemons
# that can read this in the store.
source "$(dirname "$0")/platform.sh"
# The last daemon uses the second address of the store, where faults are set
# separately.
COUNT=3
start_store
put_configuration 1
declare -A addresses
for name in s1 s2 s3 s4; do
  start_replica $name orders
  addresses[$name]=$ADDRESS
done
start_platform_daemons $COUNT $((COUNT - 1))

# ask_all NAME: sends three requests to each daemon; each must be served.
ask_all() {
  local i j
  for ((i = 0; i < COUNT; ++i)); do
    for ((j = 0; j < 3; ++j)); do
      ask "$i" "$1-$i-$j" /repeat/x || fail "$1-$i-$j: $(cat "$WORK/err")"
    done
  done
}

# One daemon loses and regains the store eight times, while the entry of an
# upstream is removed. Renewing another entry ends the watch in progress.
ask_all first
mapfile -t names < <(by_run_count s1 s2 s3 s4)
renewed=${names[0]} first=${names[3]}
for ((round = 0; round < 8; ++round)); do
  store_fault refuse "$SECOND"
  list_replica "$renewed" orders "${addresses[$renewed]}" ready
  wait_for 5 has_lost_store $((COUNT - 1))
  if ((round == 1)); then
    remove_item "servers/$first"
    removed=$(millis)
  fi
  store_fault none "$SECOND"
  wait_for 5 has_store $((COUNT - 1))
  phase=soon
  ((round > 1 && $(millis) > removed + 2000)) && phase=late
  ask_all "$phase-$round"
done
until=$((removed + 4000))
while (($(millis) < until)); do
  ask_all late-last
done
expect_no_log_line "run late" "$first"

# lose_store NAME: makes the store unresponsive for all daemons, for longer than
# the lifetime of its entries.
lose_store() {
  local i until
  store_fault silent
  store_fault silent "$SECOND"
  for ((i = 0; i < COUNT; ++i)); do
    wait_for 10 has_lost_store "$i"
  done
  until=$(($(millis) + 3000))
  while (($(millis) < until)); do
    ask_all "$1"
  done
}
# regain_store INDEX...: ends all faults and waits until these daemons have the
# store.
regain_store() {
  local i
  store_fault none
  store_fault none "$SECOND"
  for i in "$@"; do
    wait_for 10 has_store "$i"
  done
}

# An entry that is removed after all daemons have regained the store does not
# count as expired during the outage.
lose_store away
mapfile -t names < <(by_run_count "${names[@]:0:3}")
second=${names[2]}
regain_store 0 1 2
remove_item "servers/$second"
removed=$(millis)
while (($(millis) < removed + 3500)); do
  phase=soon
  (($(millis) > removed + 2000)) && phase=after
  ask_all "$phase"
done
expect_no_log_line "run after" "$second"

# Upstreams whose entries expire during a store outage are used until they have
# registered again. Removals through the Host name `operator`, which stays free
# of the fault, stand for the expiry.
lose_store away-again
store_fault none operator
for name in "${names[@]:0:2}"; do
  FETCH_HEADERS="Host: operator" remove_item "servers/$name"
done
regain_store 0
ask 0 lapsed /repeat/x || fail "lapsed: $(cat "$WORK/err")"
for name in "${names[@]:0:2}"; do
  list_replica "$name" orders "${addresses[$name]}" ready
done
regain_store 1 2
until=$(($(millis) + 3000))
while (($(millis) < until)); do
  ask_all returned
done
grep -q '"event":"upstreams_kept"' "$WORK/entry-0.log" ||
  fail "no entry was retained"
