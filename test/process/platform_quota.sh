#!/usr/bin/env bash
# Checks the quota of a workspace over two daemons, and that `cuminctl explain`
# shows whether the quota or the load refused a request, as in
# docs/OPERATIONS.md.
source "$(dirname "$0")/platform.sh"
start_platform 2

# knows_configuration VERSION: whether both daemons use this configuration.
knows_configuration() {
  local i
  for i in 0 1; do
    grep -q "knowledge_changed.*\"configuration\":$1[,}]" \
      "$WORK/entry-$i.log" || return 1
  done
}
# has_metric INDEX PATTERN: whether the metrics of the daemon have such a line.
has_metric() {
  "$BUILD/utils/fetch" "127.0.0.1:${PORTS[5 * $1 + 4]}" /metrics >"$WORK/page"
  grep -q "$2" "$WORK/page"
}

# At 1 token/s and a burst of 100, a request of 110 tokens uses nearly two
# minutes of the quota, so that the next one is over it even on a slow machine.
W2_FIELDS=',"unit":"tokens","rate-per-s":1,"burst":100,"uncached-tokens":200'
put_configuration 2
wait_for 5 knows_configuration 2
ask 0 q1 /stream/x key2
for index in 0 1 0 1; do
  expect_status 429 "$index" "q2-$index" /stream/x key2
done
[[ $(runs q2-0) == 0 && $(runs q2-1) == 0 ]] || fail "a request over the quota ran"
# The quota does not affect other workspaces.
ask 0 q3 /stream/x
[[ $(runs q3) == 1 ]] || fail "q3 ran $(runs q3) times"

# `cuminctl explain` shows the quota as the cause.
wait_for 5 grep -hq "request_ended.*q2-1" "$WORK/entry-1.log"
"$BUILD/tools/cuminctl" explain q2-1 "$WORK"/entry-?.log >"$WORK/explanation"
grep -q "quota_refused.*left=-.* rate=1 .*retry_after_ms=60000" "$WORK/explanation" ||
  fail "no cause in $(cat "$WORK/explanation")"
grep -q "request_ended.*reason=over_quota .*status=429" "$WORK/explanation" ||
  fail "no end in $(cat "$WORK/explanation")"
has_metric 1 'cuminswitch_quota_refused_total{workspace="w2"} 2' ||
  fail "refused: $(grep quota "$WORK/page")"
has_metric 0 'cuminswitch_quota_admitted_total{workspace="w2"} 1' ||
  fail "admitted: $(grep quota "$WORK/page")"

# A configuration with an invalid quota leaves the previous one in force.
W2_FIELDS=',"unit":"tokens","rate-per-s":-5'
put_configuration 3
wait_for 5 grep -q "item_malformed.*rate-per-s" "$WORK/entry-0.log"
expect_status 429 0 q4 /stream/x key2

# Without a quota all requests are served.
W2_FIELDS=""
put_configuration 4
wait_for 5 knows_configuration 4
ask 0 q5 /stream/x key2
ask 1 q6 /stream/x key2
