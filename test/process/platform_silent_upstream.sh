#!/usr/bin/env bash
# Guards against a stream that is cut because its upstream is silent for a
# while: the daemon cancels it there first, and is then refused elsewhere.
source "$(dirname "$0")/platform.sh"
SILENCE_MS=3000
# Allows a single retry.
BOUNDS=$'retry-ratio = 0\nretry-slack = 2'
start_stand_in store store_stand_in
STORE=$ADDRESS
put_configuration 1
declare -A ENGINE_PIDS ENGINES
for name in e1 e2; do
  start_replica "$name" engines m
  ENGINE_PIDS[$name]=$PID
  ENGINES[$name]=$ADDRESS
done
start_replica s1 orders
start_platform_daemons 1
for name in e1 e2 s1; do
  wait_for 10 grep -q "$name@" "$WORK/entry-0.log"
done

# A daemon that has just started may not retry. The services have their own
# retry budget.
can_retry() {
  ask 0 probe /repeat/refuse/x || true
  grep -q '"earlier_attempts":1' "$WORK/entry-0.log"
}
wait_for 30 can_retry

address=$(front 0)
exec {stream}<>"/dev/tcp/${address%:*}/${address#*:}"
printf '%s\r\n' "POST /resume/slow/x HTTP/1.1" "Host: h" "X-Attempt-Id: late" \
  "X-Deadline-Ms: 5000" "X-Model: m" "X-Token-Usage: 100,10" \
  "X-Prompt-Prefix: aa:50,late:10" "Authorization: Token key1" \
  "Connection: close" "Content-Length: 0" "" >&"$stream"
# From the second event on, the daemon expects one more often.
line=
until [[ $line == "id: 2" ]]; do
  read -rt 10 line <&"$stream" || fail "the stream did not begin"
  line=${line%$'\r'}
done
silent=$(basename "$(grep -l "^run late " "$WORK"/e?.log)" .log)
other=e$((3 - ${silent#e}))

kill -STOP "${ENGINE_PIDS[$silent]}"
silent_at=$(millis)
"$BUILD/utils/fetch" "${ENGINES[$other]}" /control/rest/3 >/dev/null
until (($(millis) - silent_at >= SILENCE_MS)); do
  read -rt 0.05 <> <(:) || true
done
kill -CONT "${ENGINE_PIDS[$silent]}"
timeout 10 cat <&"$stream" >"$WORK/rest" || fail "the stream did not end"
seen=$(sed -n 's/^id: //p' "$WORK/rest" | tr -d '\r' | tr '\n' ' ')
[[ $seen == "3 4 5 " && $(tail -n 2 "$WORK/rest" | tr -d '\r\n') == 0 ]] ||
  fail "after event 2 the stream held the events ${seen:-none} and ended" \
    "incomplete: $(grep '"late"' "$WORK/entry-0.log" |
      grep -E 'attempt_failed|request_ended' | cut -c1-260)"
