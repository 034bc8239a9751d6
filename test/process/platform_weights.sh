#!/usr/bin/env bash
# Checks that one leader at a time commands each engine to load new weights,
# once per version, also after the leader was killed. Each request names the
# version that it was placed for, and the stand-in rejects any but its own.
source "$(dirname "$0")/platform.sh"
start_platform 2
wait_for 10 eval 'grep -hq lead_taken "$WORK"/entry-?.log'

# follow ID: writes the store entry of the engine with the version that it has
# loaded, as real engines do by themselves.
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
  == 1 ]] || fail "commands of two leaders or with two fencing tokens"
wait_for 10 eval 'ask 0 w$RANDOM /stream/x'

# After the leader is killed, the other daemon takes the leadership, waits for
# the handover gap, and sends commands with a new fencing token.
leader=$(grep -l lead_taken "$WORK"/entry-?.log | sed 's/.*entry-\(.\).log/\1/')
kill -9 "${DAEMON_PIDS[$leader]}"
put op/version/m '{"model":"m","version":3}'
wait_for 20 eval '[[ $(orders) == 4 ]]'
follow e1
follow e2
fences=$(cat "$WORK"/e1.log | sed -n 's/^order [^ ]* \([0-9]*\) .*/\1/p')
[[ $(sort -n <<<"$fences") == "$fences" ]] ||
  fail "fencing tokens decreased: $fences"
wait_for 10 eval 'ask $((1 - leader)) w$RANDOM /stream/x'
