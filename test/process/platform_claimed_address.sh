#!/usr/bin/env bash
# Guards against a living upstream that gets no requests, because another entry
# of the store claims its address with a later start, and goes on doing so.
source "$(dirname "$0")/platform.sh"

# claim ID SERVICE ADDRESS FIELD...: writes an entry that claims the address.
# FIELD is one more field of it.
claim() {
  put "servers/$1" "{\"backend\":\"$2\",\"address\":\"$3\",\"zone\":\"z1\",
    \"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"seq\":1,
    \"cold-left-ms\":0${4:+,$4}}"
}
# has_run NAME: whether both upstreams ran a request whose id begins with NAME.
has_run() {
  grep -q "^run $1-" "$WORK/s1.log" && grep -q "^run $1-" "$WORK/s2.log"
}
# send_burst NAME INDEX: sends requests at once; fails unless all are served.
send_burst() {
  local i pids=() failed=0
  for ((i = 0; i < 8; ++i)); do
    ask "$2" "$1-$i" /repeat/x &
    pids+=("$!")
  done
  for i in "${pids[@]}"; do
    wait "$i" || failed=1
  done
  ((failed == 0))
}
# reaches_both NAME INDEX: sends requests to the daemon; whether both upstreams
# have run one by then.
reaches_both() {
  send_burst "$1" "$2" || true
  has_run "$1"
}
# use_all NAME: checks that each daemon sends requests to both upstreams and then
# serves all. Before, requests that are rejected at the claimed address may spend
# the retry budget.
use_all() {
  local index
  for index in "${!DAEMON_PIDS[@]}"; do
    wait_for 20 reaches_both "$1-$index" "$index" ||
      fail "$1: an upstream gets nothing from daemon $index"
    wait_for 10 send_burst "$1-$index-late" "$index" ||
      fail "$1: daemon $index does not serve all requests"
  done
}

start_store
put_configuration 1
start_replica e1 engines m
start_replica s1 orders
start_replica s2 orders
S2=$ADDRESS
start_platform_daemons 3
for index in 0 1 2; do
  earn_retries "$index" /repeat/x
done
NUMBER=0
for service in orders engines unknown; do
  for field in '' '"born":1' '"born":4000000000000' \
    '"models":[{"name":"m","version":1}]'; do
    NUMBER=$((NUMBER + 1))
    claim "odd-$NUMBER" "$service" "$S2" "$field"
    for index in 0 1 2; do
      wait_for 10 grep -q "upstream_refuted.*odd-$NUMBER\"" \
        "$WORK/entry-$index.log" || fail "daemon $index uses odd-$NUMBER"
    done
    use_all "claim-$NUMBER"
  done
done

# Daemons that start find the living upstream too.
restart_platform_daemons
use_all restarted
