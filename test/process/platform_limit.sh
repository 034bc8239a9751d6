#!/usr/bin/env bash
# Symptom: an engine in need, which named the requests a second that it takes,
# got two to three times as many, and several daemons that had passed its answers
# on were among the senders.
# Sequence: three daemons share two engines; the one that has the prompts' shared
# prefix, and so gets nearly all of them, names one request a second; callers go on
# as before.
source "$(dirname "$0")/platform.sh"
start_platform 3

# name_limit ENGINE RATE: from its next answer on; none for no limit.
name_limit() {
  local address
  address=$(sed -n 's/^listening on //p' "$WORK/$1.log")
  "$BUILD/utils/fetch" "$address" "/control/limit/$2" >/dev/null
}
# runs_at ENGINE: requests that it has run.
runs_at() { grep -c "^run " "$WORK/$1.log" || true; }
# ask_many SECONDS NAME: all daemons, one after the other, without a pause; each
# request has to be answered.
ask_many() {
  local until=$((SECONDS + $1)) i
  for ((i = 0; SECONDS < until; ++i)); do
    ask $((i % 3)) "$2-$i" /stream/x ||
      fail "$2-$i was not served: $(cat "$WORK/err")"
  done
}
# ends_limit INDEX: the daemon believes in no limit any more.
ends_limit() {
  [[ $(grep -oE '"event":"limit_(named|ended)"' "$WORK/entry-$1.log" |
    tail -1) == *ended* ]]
}

ask_many 2 before
home=e1
(($(runs_at e2) > $(runs_at e1))) && home=e2
name_limit $home 1
before=$(runs_at $home)
ask_many 10 limited
grep -q "^over_limit" "$WORK/$home.log" &&
  fail "more than it takes: $(grep "^over_limit" "$WORK/$home.log" | tail -1)"
# What it takes, it gets; the other engine gets the rest.
(($(runs_at $home) - before >= 6)) ||
  fail "$(($(runs_at $home) - before)) requests in 10 s at a limit of 1"

# Without the limit the requests come back to their prefix.
name_limit $home none
before=$(runs_at $home)
ask_many 4 after
for index in 0 1 2; do
  wait_for 5 ends_limit "$index"
done
(($(runs_at $home) - before >= 20)) ||
  fail "$(($(runs_at $home) - before)) requests in the 4 s after the limit ended"
