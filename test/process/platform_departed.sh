#!/usr/bin/env bash
# Guards against requests to upstreams that have left, from daemons to which the store says so.
source "$(dirname "$0")/platform.sh"
# The last daemon has the store's second address, which fails by itself.
COUNT=3
start_store
put_configuration 1
declare -A addresses
for name in s1 s2 s3 s4; do
  start_replica $name orders
  addresses[$name]=$ADDRESS
done
start_platform_daemons $COUNT $((COUNT - 1))

# ask_all NAME: three requests of each daemon; each has to be answered.
ask_all() {
  local i j
  for ((i = 0; i < COUNT; ++i)); do
    for ((j = 0; j < 3; ++j)); do
      ask "$i" "$1-$i-$j" /repeat/x || fail "$1-$i-$j: $(cat "$WORK/err")"
    done
  done
}

# One daemon loses the store for a moment and regains it, again and again, while
# an upstream is removed. Renewed entries end the watch that is under way.
ask_all first
mapfile -t names < <(by_use s1 s2 s3 s4)
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
expect_none "run late" "$first"

# lose_store NAME: away for all, for longer than entries last.
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
# regain_store INDEX...: until these daemons have it.
regain_store() {
  local i
  store_fault none
  store_fault none "$SECOND"
  for i in "$@"; do
    wait_for 10 has_store "$i"
  done
}

# What is removed after the store has answered all again has not lapsed.
lose_store away
mapfile -t names < <(by_use "${names[@]:0:3}")
second=${names[2]}
regain_store 0 1 2
remove_item "servers/$second"
removed=$(millis)
while (($(millis) < removed + 3500)); do
  phase=soon
  (($(millis) > removed + 2000)) && phase=after
  ask_all "$phase"
done
expect_none "run after" "$second"

# What lapses while the store is away is used until its upstreams are back. The
# store obeys its operator meanwhile.
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
  fail "no entry was kept"
