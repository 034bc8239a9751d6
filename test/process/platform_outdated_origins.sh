#!/usr/bin/env bash
# Guards against streams that a daemon resumes at another software version than
# the one that began them, because it was suspended, or reached neither the store
# nor its peers, while engines with that version joined.
#
#   platform_outdated_origins.sh suspended|partitioned
source "$(dirname "$0")/platform.sh"
KIND=$1
COUNT=24
DAEMONS=8
PIDS=()

# collect NAME ARGUMENT...: sends a request as `ask` does, in the background, and
# appends the body to $WORK/NAME.
collect() {
  local name=$1
  shift
  (
    all=$WORK
    WORK=$(mktemp -d "$WORK/ask.XXXX")
    ask "$@" || true
    cat "$WORK/out" >>"$all/$name"
  ) &
  PIDS+=("$!")
}
finish() {
  wait "${PIDS[@]}"
  PIDS=()
}

# has_begun: whether engines run all streams.
has_begun() {
  local i
  for ((i = 0; i < COUNT; ++i)); do
    cat "$WORK"/e?.log | grep -q "^run stream$i-1 " || return 1
  done
}
last_event() { sed -n 's/^id: //p' "$WORK/$1" | tail -1; }
# versions STREAM: prints the software versions whose events it holds.
versions() { sed -n 's/^data: .* of //p' "$WORK/$1" | sort -u; }
count_of() {
  local i count=0
  for ((i = 0; i < COUNT; ++i)); do
    if [[ $(versions "stream$i") == "$1" ]]; then
      count=$((count + 1))
    fi
  done
  echo "$count"
}

start_store
put_configuration 1
SOFTWARE=v1 start_replica e1 engines m
SOFTWARE=v1 start_replica e2 engines m
start_replica s1 orders
start_platform_daemons "$DAEMONS" 0
start_stand_in e3 replica_stand_in --id e3 --model m --version 1 --software v1.1

# Daemon 0 hears nothing while the version v1.1 joins and streams begin at it.
kill -STOP "${DAEMON_PIDS[0]}"
[[ $KIND == suspended ]] || store_fault silent "$SECOND"
SOFTWARE=v1.1 list_replica e3 engines "$ADDRESS" ready m 1
for ((i = 1; i < DAEMONS; ++i)); do
  wait_for 10 grep -q "e3@" "$WORK/entry-$i.log"
done
for ((i = 0; i < COUNT; ++i)); do
  BODY=stream PARTS="$i:50" \
    collect "stream$i" $((1 + i % (DAEMONS - 1))) "stream$i-1" /resume/slow/
done
wait_for 10 has_begun
kill_and_wait "${DAEMON_PIDS[@]:1}"
finish
(($(count_of v1.1) > 0)) || fail "no stream began at v1.1"

# All streams break, and their callers resume them at daemon 0. Half of them
# name the attempt that began the stream, so that daemon 0 may know its origin.
for ((i = 0; i < COUNT; ++i)); do
  last=$(last_event "stream$i")
  [[ -n $last ]] || continue
  resumes=
  ((i % 2 == 0)) || resumes=$'\n'"Resumes: stream$i-1"
  BODY=stream PARTS="$i:50" EXTRA_HEADERS="Last-Event-Id: $last$resumes" \
    collect "stream$i" 0 "stream$i-2" /resume/x
done
kill -CONT "${DAEMON_PIDS[0]}"
finish
mixed=0
for ((i = 0; i < COUNT; ++i)); do
  (($(versions "stream$i" | wc -l) <= 1)) || mixed=$((mixed + 1))
done
((mixed == 0)) || fail "$mixed of $COUNT streams hold two versions"
kill -0 "${DAEMON_PIDS[0]}" || fail "daemon 0 has ended"

# With a complete view, daemon 0 serves again.
[[ $KIND == suspended ]] || store_fault none "$SECOND"
wait_for 10 grep -q "e3@" "$WORK/entry-0.log"
ask 0 new-1 /resume/x || fail "a new stream was not served: $(cat "$WORK/err")"
