#!/usr/bin/env bash
# Guards against callers that are refused while engines with superseded weights
# could serve them: engines that refuse to change their weights, or do not
# respond to the command, counted as changing.
source "$(dirname "$0")/platform.sh"
VERSION_MS=10000
# A daemon stops earlier, by its margin and by the age of its items.
USABLE_MS=$((VERSION_MS - 2000))
ROUNDS=12
BOUNDS="version-ms = $VERSION_MS"
ENGINES=(e1 e2 e3)
start_platform 3
start_replica e3 engines m
wait_for 10 eval 'grep -hq lead_taken "$WORK"/entry-?.log'
for daemon in 0 1 2; do
  wait_for 5 grep -q "upstreams_changed.*e3@" "$WORK/entry-$daemon.log"
done

address() { sed -n 's/^listening on //p' "$WORK/$1.log"; }
# set_orders MODE: sets how the engines treat commands.
set_orders() {
  local engine
  for engine in "${ENGINES[@]}"; do
    "$BUILD/utils/fetch" "$(address "$engine")" "/control/orders/$1" >/dev/null
  done
}
# was_commanded_twice ENGINE VERSION: whether a first command of the version has
# ended without effect.
was_commanded_twice() {
  (($(cat "$WORK"/entry-?.log | grep '"event":"order_sent"' |
    grep -c "\"upstream\":\"$1\".*\"version\":$2,") >= 2))
}
# expect_service MODE VERSION: publishes the version to engines that treat
# commands as MODE, and checks that the version before it serves until its bound
# is near. Then the engines accept the command.
expect_service() {
  local published asked=0 served=0 round daemon engine
  set_orders "$1"
  published=$(millis)
  put op/version/m "{\"model\":\"m\",\"version\":$2}"
  for engine in "${ENGINES[@]}"; do
    wait_for 4 was_commanded_twice "$engine" "$2"
  done
  for ((round = 0; round < ROUNDS; ++round)); do
    for daemon in 0 1 2; do
      (($(millis) - published < USABLE_MS)) || break 2
      asked=$((asked + 1))
      ask "$daemon" "$1-$asked" /stream/x && served=$((served + 1))
    done
  done
  ((asked >= ROUNDS)) || fail "only $asked requests were sent in time"
  echo "$1: $served of $asked requests were served"
  ((served * 100 >= asked * 95)) || fail "engines that serve were not used"
  set_orders none
  for engine in "${ENGINES[@]}"; do
    wait_for 10 grep -q "^order .* $2$" "$WORK/$engine.log"
    list_replica "$engine" engines "$(address "$engine")" ready m "$2"
  done
  for daemon in 0 1 2; do
    wait_for 5 ask "$daemon" "loaded-$2-$daemon" /stream/x
  done
}

expect_service refuse 2
expect_service ignore 3
