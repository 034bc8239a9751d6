#!/usr/bin/env bash
# Checks for four kinds of failed requests that `cuminctl explain` leads from
# the id to the cause, as in docs/OPERATIONS.md.
source "$(dirname "$0")/platform.sh"
start_platform 2

# explained ID PATTERN...: checks that the explanation of the request contains
# each pattern.
explained() {
  local id=$1 pattern
  shift
  wait_for 5 eval 'grep -hq "request_ended.*\"$id\"" "$WORK"/entry-?.log'
  "$BUILD/tools/cuminctl" explain "$id" "$WORK"/entry-?.log >"$WORK/explanation"
  for pattern in "$@"; do
    grep -q "$pattern" "$WORK/explanation" ||
      fail "$id: no $pattern in $(cat "$WORK/explanation")"
  done
}

# Refused: each upstream that was tried had no capacity.
ask 0 refused-1 /once/refuse/x || true
explained refused-1 "attempt_failed.*answer=refused" \
  "request_ended.*outcome=not_run.*status=503"

# Truncated: the engine closed the connection, and the route does not allow
# resuming the stream.
ask 0 cut-1 /stream/cut/x || true
explained cut-1 "attempt_failed.*answer=broken" \
  "request_ended.*outcome=unknown.*reason=answer_broken" \
  "attempt_failed.*ended_by=upstream_closed" "request_ended.*truncated=true"
"$BUILD/utils/fetch" "127.0.0.1:${PORTS[4]}" /metrics >"$WORK/metrics"
grep -q 'truncated_total{route="stream",reason="answer_broken"} 1' \
  "$WORK/metrics" || fail "not counted: $(grep truncated "$WORK/metrics")"

# Discarded: the next request arrived on a connection that was about to close.
exec 5<>"/dev/tcp/127.0.0.1/${PORTS[0]}"
printf 'POST /repeat/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: last-1\r\n%s\r\n%s' \
  $'Authorization: Token key1\r\nContent-Length: 0\r\nConnection: close\r\n' \
  'POST /repeat/y ' >&5
cat <&5 >"$WORK/out"
exec 5>&-
wait_for 5 grep -q '"caller_connection_closed","id":"last-1"' \
  "$WORK/entry-0.log"
explained last-1 "caller_connection_closed.*unread_bytes=15"

# Unknown: the upstream was killed after it had accepted the request.
DEADLINE_MS=2000 ask 0 dead-1 /once/hang/x &
asking=$!
wait_for 5 grep -hq "^run dead-1" "$WORK"/s?.log
victim=$(grep -l "^run dead-1" "$WORK"/s?.log | sed 's/.*\(s.\)\.log/\1/')
address=$(sed -n 's/^listening on //p' "$WORK/$victim.log")
for pid in "${started_pids[@]}"; do
  tr '\0' ' ' <"/proc/$pid/cmdline" | grep -q -- "--id $victim " &&
    kill -9 "$pid"
done
wait "$asking" || true
explained dead-1 "attempt_placed.*upstream=$victim" \
  "attempt_failed.*answer=broken" "request_ended.*outcome=unknown.*status=502"
grep -q "$victim@$address" "$WORK"/entry-0.log || fail "no address of $victim"

! "$BUILD/tools/cuminctl" explain nobody "$WORK"/entry-?.log \
  2>"$WORK/err" || fail "an unknown id is explained"
grep -q "in none of the files" "$WORK/err" || fail "$(cat "$WORK/err")"
