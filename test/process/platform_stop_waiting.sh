#!/usr/bin/env bash
# Guards against a stopping daemon that sends waiting requests to upstreams so
# late that they are cut off at its exit.
EXTRA_ROUTES='{"name":"long","host":"h","path-prefix":"/long/",
  "kind":"non_idempotent","timeout-ms":20000,"backend":"orders","attempts":1}'
source "$(dirname "$0")/platform.sh"
start_stand_in store store_stand_in
STORE=$ADDRESS
put_configuration 1 "$EXTRA_ROUTES"
for name in s1 s2; do
  start_stand_in "$name" replica_stand_in --id "$name" --slots 1 --work-ms 2600
  SLOTS=1 list_replica "$name" orders "$ADDRESS" ready
done
start_platform_daemons 1

# send ID: sends a request; writes the status of its response to WORK/ID.
send() {
  FETCH_HEADERS="Host: h
X-Attempt-Id: $1
X-Deadline-Ms: 20000
Authorization: Token key1" \
    "$BUILD/utils/fetch" "$(front 0)" /long/x body >/dev/null 2>"$WORK/$1.err" &&
    echo 200 >"$WORK/$1" || sed 's/.*status //' "$WORK/$1.err" >"$WORK/$1"
}

# Two upstreams execute one request each at a time, so that these would end 2.6,
# 5.2 and 7.8 s after the first; the daemon exits within 8 s.
asked=()
for ((i = 0; i < 6; ++i)); do
  send "late-$i" &
  asked+=("$!")
done
wait_for 5 eval '(($(grep -c "\"event\":\"attempt_placed\"" "$WORK/entry-0.log") == 2))'
kill -TERM "${DAEMON_PIDS[0]}"
wait "${asked[@]}"
wait "${DAEMON_PIDS[0]}" || fail "the daemon exited with status $?"

served=0
for ((i = 0; i < 6; ++i)); do
  status=$(cat "$WORK/late-$i")
  [[ $status == 200 || $status == 503 ]] || fail "late-$i got $status"
  [[ $status == 200 ]] && served=$((served + 1))
done
((served >= 2)) || fail "only $served requests were served"
placed=$(grep -c '"event":"attempt_placed"' "$WORK/entry-0.log")
((placed == served)) || fail "$placed requests were sent, $served served"
