#!/usr/bin/env bash
# Guards against requests to upstreams that asked for backoff or announced that
# they leave.
source "$(dirname "$0")/platform.sh"
start_platform 1
start_replica e3 engines m
start_replica s3 orders

# control UPSTREAM WHAT: changes the behaviour of the upstream by its /control/
# path.
control() {
  local address
  address=$(sed -n 's/^listening on //p' "$WORK/$1.log")
  "$BUILD/utils/fetch" "$address" "/control/$2" >/dev/null
}
# ask_for SECONDS NAME PATH: sends requests without a pause; each must be
# served.
ask_for() {
  local until=$((SECONDS + $1)) i
  for ((i = 0; SECONDS < until; ++i)); do
    ask 0 "$2-$i" "$3" || fail "$2-$i was not served: $(cat "$WORK/err")"
  done
}

# One upstream of three asks for backoff: the others serve all requests.
earn_retries 0 /stream/x
earn_retries 0 /repeat/x
engine=$(by_run_count e1 e2 e3 | tail -1)
service=$(by_run_count s1 s2 s3 | tail -1)
control "$engine" rest/3
control "$service" rest/2
ask_for 4 rest /stream/x
ask_for 3 rest /repeat/x
grep -q "\"event\":\"rest_asked\",\"upstream\":\"$engine\".*\"rest_ms\":3000" \
  "$WORK/entry-0.log" || fail "no backoff of $engine in the log"
expect_no_log_line in_rest "$engine"
expect_no_log_line in_rest "$service"
# After the backoff it serves again.
control "$engine" rest/none
control "$service" rest/none
before=$(grep -c "^run" "$WORK/$engine.log")
ask_for 6 after /stream/x
(($(grep -c "^run" "$WORK/$engine.log") > before)) ||
  fail "$engine got no requests after its backoff"

# All ask for backoff: requests are refused at once, with the time until the
# first backoff ends.
for index in 1 2 3; do
  control "s$index" rest/4
done
ask 0 all-first /repeat/x && fail "all-first was served"
grep -q "status 503" "$WORK/err" || fail "all-first: $(cat "$WORK/err")"
for ((i = 0; i < 20; ++i)); do
  ask 0 "all-$i" /repeat/x && fail "all-$i was served"
  grep -qE "status (429|503)" "$WORK/err" || fail "all-$i: $(cat "$WORK/err")"
  read -rt 0.1 <> <(:) || true
done
for index in 1 2 3; do
  expect_no_log_line in_rest "s$index"
done
# The daemon writes its log slightly after the response.
wait_for 5 grep -q '"request_ended","id":"all-19"' "$WORK/entry-0.log" ||
  fail "no end of all-19 in the log"
"$BUILD/tools/cuminctl" explain all-19 "$WORK/entry-0.log" >"$WORK/explanation"
grep -q "request_ended.*reason=upstreams asked for rest.*retry_after_ms=[1-4]" \
  "$WORK/explanation" || fail "no cause in $(cat "$WORK/explanation")"

# An engine announces that it leaves while its store entry is still ready.
ask_for 1 before /resume/x
engine=$(by_run_count e1 e2 e3 | tail -1)
control "$engine" leaving/1
ask_for 3 leaving /resume/x
expect_no_log_line while_leaving "$engine"
grep -q "\"event\":\"leaving_said\",\"upstream\":\"$engine\"" \
  "$WORK/entry-0.log" || fail "no announcement of $engine in the log"
