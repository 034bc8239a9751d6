#!/usr/bin/env bash
# Guards against restarted daemons that spend the retry budget of the fleet
# again within one window of 10 s.
source "$(dirname "$0")/platform.sh"
SLACK=16
BOUNDS="retry-ratio = 0
retry-slack = $SLACK"
EXTRA_ROUTES='{"name":"refused","host":"h","path-prefix":"/refuse/",
  "kind":"idempotent","timeout-ms":600,"backend":"orders","attempts":2}'
start_platform 2

# retries: prints the times of the retries of all daemons, in milliseconds.
retries() {
  sed -n '/"event":"attempt_placed"/{/"earlier_attempts":0/!{
    s/.*"time_ms":\([0-9]*\).*/\1/p}}' "$WORK"/entry-?.log | sort -n
}
# most_in_a_window: prints the largest number of retries in any 10 s.
most_in_a_window() {
  retries | awk '{ at[NR] = $1; while ($1 - at[first + 1] >= 10000) ++first
    if (NR - first > most) most = NR - first } END { print most + 0 }'
}
# refuse_many NAME: sends SLACK requests that upstreams refuse to each of the
# two daemons, together twice as many as the retry budget allows to retry.
refuse_many() {
  local i
  for ((i = 0; i < 2 * SLACK; ++i)); do
    ask $((i % 2)) "$1-$i" /refuse/x || true
  done
}
has_retried() {
  ask 0 probe /refuse/x || true
  (($(retries | wc -l) > 0))
}

wait_for 30 has_retried
refuse_many first
for round in second third fourth; do
  kill_and_wait "${DAEMON_PIDS[@]}"
  DAEMON_PIDS=()
  for index in 0 1; do
    start_platform_daemon "$index"
    DAEMON_PIDS+=("$PID")
  done
  for index in 0 1; do
    wait_for 10 is_platform_ready "$index"
  done
  refuse_many "$round"
done
most=$(most_in_a_window)
((most <= SLACK)) || fail "$most retries in 10 s, $SLACK allowed"
((most > 0)) || fail "nothing was retried"
