#!/usr/bin/env bash
# Guards against requests to upstreams that have left, from daemons to which the store says so.
source "$(dirname "$0")/platform.sh"
# The last daemon has the store's second address, which fails by itself.
COUNT=3
start_stand_in store store_stand_in --second 127.0.0.1:0
STORE=$ADDRESS
SECOND=$(sed -n 's/^also listening on //p' "$WORK/store.log")
put_configuration 1
for name in s1 s2 s3 s4; do
  start_replica $name orders
  declare "ADDRESS_$name=$ADDRESS"
done
make_ports $((5 * COUNT))
SEEDS="\"127.0.0.1:${PORTS[3]}\""
for ((i = 0; i < COUNT; ++i)); do
  PROVIDER=$STORE
  ((i == COUNT - 1)) && PROVIDER=$SECOND
  start_platform_daemon "$i"
done
for ((i = 0; i < COUNT; ++i)); do
  wait_for 10 is_platform_ready "$i"
done

# second_fault MODE: of the store's second address alone.
second_fault() {
  "$BUILD/utils/fetch" "$STORE" "/fault?mode=$1&at=$SECOND" - >/dev/null
}
# last_of INDEX: the last thing that the daemon noted of its store.
last_of() {
  grep -oE '"event":"dependency_(lost|regained)"' "$WORK/entry-$1.log" |
    tail -1
}
has_lost_store() { [[ $(last_of "$1") == *lost* ]]; }
has_store() { ! has_lost_store "$1"; }
# ask_all NAME: three requests of each daemon; each has to be answered.
ask_all() {
  local i j
  for ((i = 0; i < COUNT; ++i)); do
    for ((j = 0; j < 3; ++j)); do
      ask "$i" "$1-$i-$j" /repeat/x || fail "$1-$i-$j: $(cat "$WORK/err")"
    done
  done
}
# expect_none NAME UPSTREAM: no request whose name begins so ran there.
expect_none() {
  local count
  count=$(grep -c "^run $1" "$WORK/$2.log" || true)
  ((count == 0)) || fail "$2 is gone and ran $count requests $1"
}
# millis: of a clock that never steps.
millis() { awk '{ print int($1 * 1000) }' /proc/uptime; }

# by_use NAME...: the names, the one that has run fewest requests first.
by_use() {
  local name
  for name in "$@"; do
    echo "$(grep -c "^run" "$WORK/$name.log") $name"
  done | sort -n | cut -d' ' -f2
}

# One daemon loses the store for a moment and regains it, again and again, while
# an upstream is removed. Renewed entries end the watch that is under way.
ask_all first
mapfile -t names < <(by_use s1 s2 s3 s4)
renewed=${names[0]} first=${names[3]}
address="ADDRESS_$renewed"
for ((round = 0; round < 8; ++round)); do
  second_fault refuse
  list_replica "$renewed" orders "${!address}" ready
  wait_for 5 has_lost_store $((COUNT - 1))
  if ((round == 1)); then
    remove_item "servers/$first"
    removed=$(millis)
  fi
  second_fault none
  wait_for 5 has_store $((COUNT - 1))
  phase=soon
  ((round > 1 && $(millis) > removed + 2000)) && phase=late
  ask_all "$phase-$round"
done
until=$((removed + 4000))
while (($(millis) < until)); do
  ask_all late-last
done
expect_none late "$first"

# The store is away for all. What is removed after it has answered all again has
# not lapsed.
store_fault silent
second_fault silent
for ((i = 0; i < COUNT; ++i)); do
  wait_for 10 has_lost_store "$i"
done
# Longer than entries last.
until=$(($(millis) + 3000))
while (($(millis) < until)); do
  ask_all away
done
mapfile -t names < <(by_use "${names[@]:0:3}")
second=${names[2]}
store_fault none
second_fault none
for ((i = 0; i < COUNT; ++i)); do
  wait_for 10 has_store "$i"
done
remove_item "servers/$second"
removed=$(millis)
while (($(millis) < removed + 3500)); do
  phase=soon
  (($(millis) > removed + 2000)) && phase=after
  ask_all "$phase"
done
expect_none after "$second"

# What lapses while the store is away is used until its upstreams are back.
store_as_operator() {
  FETCH_HEADERS="Host: operator" "$BUILD/utils/fetch" "$STORE" "$@" >/dev/null
}
store_as_operator "/fault?mode=none&at=operator" -
store_fault silent
second_fault silent
for ((i = 0; i < COUNT; ++i)); do
  wait_for 10 has_lost_store "$i"
done
until=$(($(millis) + 3000))
while (($(millis) < until)); do
  ask_all away-again
done
for name in "${names[@]:0:2}"; do
  store_as_operator /kv-txn \
    "{\"precondition\":[],\"puts\":[],\"remove\":[\"servers/$name\"]}"
done
store_fault none
second_fault none
for ((i = 0; i < COUNT; ++i)); do
  wait_for 10 has_store "$i"
done
ask_all lapsed
for name in "${names[@]:0:2}"; do
  address="ADDRESS_$name"
  list_replica "$name" orders "${!address}" ready
done
until=$(($(millis) + 3000))
while (($(millis) < until)); do
  ask_all returned
done
grep -q '"event":"upstreams_kept"' "$WORK/entry-0.log" ||
  fail "no entry was kept"
