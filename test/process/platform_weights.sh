#!/usr/bin/env bash
# New weights: one leader orders each engine once, also after the leader died,
# and requests name the version that they were placed for.
source "$(dirname "$0")/platform.sh"
start_platform 2
wait_for 10 eval 'grep -hq lead_taken "$WORK"/entry-?.log'

# follow ID: lists the engine with the version that it has by now, as a real
# one does by itself.
follow() {
  local version
  version=$(sed -n 's/^order .* //p' "$WORK/$1.log" | tail -1)
  list_replica "$1" engines "$(sed -n 's/^listening on //p' "$WORK/$1.log")" \
    ready m "${version:-1}"
}
orders() { cat "$WORK"/e?.log | grep -c "^order" || true; }

put op/version/m '{"model":"m","version":2}'
wait_for 10 eval '[[ $(orders) == 2 ]]'
follow e1
follow e2
[[ $(cat "$WORK"/e?.log | grep "^order" | cut -d" " -f2,3 | sort -u | wc -l) \
  == 1 ]] || fail "two leaders, or two fences"
wait_for 10 eval 'ask 0 w$RANDOM /stream/x'

# The leader dies; the other one leads, waits, and orders under a new fence.
leader=$(grep -l lead_taken "$WORK"/entry-?.log | sed 's/.*entry-\(.\).log/\1/')
kill -9 "${DAEMON_PIDS[$leader]}"
put op/version/m '{"model":"m","version":3}'
wait_for 20 eval '[[ $(orders) == 4 ]]'
follow e1
follow e2
fences=$(cat "$WORK"/e1.log | sed -n 's/^order [^ ]* \([0-9]*\) .*/\1/p')
[[ $(sort -n <<<"$fences") == "$fences" ]] || fail "fences went back: $fences"
wait_for 10 eval 'ask $((1 - leader)) w$RANDOM /stream/x'
