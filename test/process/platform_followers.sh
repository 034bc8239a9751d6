#!/usr/bin/env bash
# Guards against stale configuration in a daemon that reaches the store but
# waits for followers that have lost it.
source "$(dirname "$0")/platform.sh"
# The daemon SPARED uses the first address of the store, which never fails; the
# others use the second.
SPARED=5 COUNT=14
start_store
put_configuration 1
start_replica e1 engines m
start_replica s1 orders
make_ports $((5 * COUNT))
SEEDS="\"127.0.0.1:${PORTS[3]}\", \"127.0.0.1:${PORTS[8]}\""
for ((i = 0; i < COUNT; ++i)); do
  PROVIDER=$SECOND
  ((i == SPARED)) && PROVIDER=$STORE
  start_platform_daemon "$i"
done
for ((i = 0; i < COUNT; ++i)); do
  wait_for 20 is_platform_ready "$i"
done

# change VERSION PATH: writes a configuration that adds a route for PATH.
change() {
  put_configuration "$1" "{\"name\":\"r$1\",\"host\":\"h\",
    \"path-prefix\":\"$2\",\"kind\":\"stream\",\"timeout-ms\":5000,
    \"goal-ms\":800,\"priority\":0,\"backend\":\"engines\",\"attempts\":1}"
}
# serves INDEX PATH: whether the daemon serves a request to PATH.
serves() {
  ask "$1" "ask-$1-$RANDOM" "$2"
}

# The set of followers is stable once a change has reached all daemons and only
# two still follow the store.
change 2 /calm/
for ((i = 0; i < COUNT; ++i)); do
  wait_for 10 serves "$i" /calm/x
done
wait_for 10 grep -q '"event":"store_following","follows":false' \
  "$WORK/entry-$SPARED.log"
# followers: prints the daemons that have followed the store since their start.
followers() {
  local i
  for ((i = 0; i < COUNT; ++i)); do
    grep -q '"event":"store_following","follows":false' "$WORK/entry-$i.log" ||
      echo "$i"
  done
}
wait_for 10 eval '(($(followers | wc -l) == 2))'
mapfile -t FOLLOWERS < <(followers)
version=2
for mode in silent refuse; do
  store_fault "$mode" "$SECOND"
  for i in "${FOLLOWERS[@]}"; do
    wait_for 10 has_lost_store "$i"
  done
  change $((++version)) "/route-$mode/"
  wait_for 4 serves $SPARED "/route-$mode/x" ||
    fail "entry-$SPARED reaches the store but does not have version $version"
  for ((i = 0; i < COUNT; ++i)); do
    wait_for 4 serves "$i" "/route-$mode/x" ||
      fail "entry-$i does not have version $version"
  done
  store_fault none "$SECOND"
  for i in "${FOLLOWERS[@]}"; do
    wait_for 10 eval "! has_lost_store $i"
  done
done
