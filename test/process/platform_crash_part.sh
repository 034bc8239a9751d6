#!/usr/bin/env bash
# Guards against a prompt part that crashes upstreams in ever new requests.
source "$(dirname "$0")/platform.sh"
start_platform 3
for index in 3 4 5 6 7 8 9 10; do
  start_replica "e$index" engines m
done

crashed() { cat "$WORK"/e*.log | grep -c "^crashed $1-" || true; }
# ask_crashing INDEX ID PATH: sends a request that shares only its crashing part
# with others; its other parts are those of sound requests.
ask_crashing() {
  BODY="body of $2" PARTS="aa:50,dead01:40" ask "$1" "$2" "$3/$2"
}
# is_quarantined_everywhere: whether every daemon has quarantined a part.
is_quarantined_everywhere() {
  local index
  for index in 0 1 2; do
    grep -q '"event":"request_quarantined",.*"of":"part"' \
      "$WORK/entry-$index.log" || return 1
  done
}
# expect_quarantined NAME: checks that no request with the part crashes a
# further upstream, and that sound requests are served, at every daemon.
expect_quarantined() {
  local before i
  before=$(cat "$WORK"/e*.log | grep -c "^crashed" || true)
  for ((i = 0; i < 9; ++i)); do
    ask_crashing $((i % 3)) "$1-$i" /stream && fail "$1-$i was served"
    grep -q "status 503" "$WORK/err" || fail "$1-$i: $(cat "$WORK/err")"
    BODY="sound $1 $i" ask $((i % 3)) "$1-sound-$i" "/stream/$i" ||
      fail "$1-sound-$i: $(cat "$WORK/err")"
  done
  i=$(cat "$WORK"/e*.log | grep -c "^crashed" || true)
  ((i == before)) || fail "$((i - before)) more upstreams crashed under $1"
}
# is_recorded: whether the store lists the quarantined part.
is_recorded() {
  "$BUILD/utils/fetch" "$STORE" "/kv-range?path-prefix=cuminswitch/quarantine/" |
    grep -q cuminswitch/quarantine/
}

for index in 0 1 2; do
  earn_retries $index /resume/x
done
# The first requests may crash five upstreams, at any daemons, by retries too.
for ((i = 0; i < 5; ++i)); do
  (($(crashed first) < 4)) || break
  ask_crashing $((i % 3)) "first-$i" /stream && fail "first-$i was served"
done
(($(crashed first) <= 5)) || fail "$(crashed first) upstreams crashed"
wait_for 4 is_quarantined_everywhere
expect_quarantined second
# `cuminctl explain` leads from the id of a refused request to the part.
"$BUILD/tools/cuminctl" explain second-0 "$WORK"/entry-0.log >"$WORK/explanation"
part=$(sed -n 's/.*request_ended.* part=\([0-9a-f]*\).*/\1/p' "$WORK/explanation")
[[ -n $part ]] || fail "no part in $(cat "$WORK/explanation")"
grep -q "\"attempt_failed\".*\"parts\":\"[^\"]*$part" "$WORK"/entry-?.log ||
  fail "no attempt with the part $part"

# The quarantine survives when all daemons are killed at once.
wait_for 5 is_recorded
kill_and_wait "${DAEMON_PIDS[@]}"
for index in 0 1 2; do
  start_platform_daemon "$index"
done
for index in 0 1 2; do
  wait_for 10 is_platform_ready "$index"
done
expect_quarantined third
