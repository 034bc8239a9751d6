#!/usr/bin/env bash
# Guards against requests that begin on superseded weights after their bound, at
# daemons that start after the publication and take it for new, and against
# daemons that refuse superseded weights although their bound is far.
source "$(dirname "$0")/platform.sh"
VERSION_MS=6000
AFTER_MS=2500
BOUNDS="version-ms = $VERSION_MS"
# No leader may command the engines until all is over.
LEADER_GAP_MS=30000
start_platform 3
wait_for 10 eval 'grep -hq lead_taken "$WORK"/entry-?.log'
for number in 1 2 3; do
  wait_for 5 ask 0 "before-$number" /stream/x
done

# publish VERSION: publishes weights; no engine loads them.
publish() {
  put op/version/m "{\"model\":\"m\",\"version\":$1}"
  published=$(millis)
}
since_publication() { echo $(($(millis) - published)); }
# restart INDEX...: kills the daemons and starts them again.
restart() {
  local i killed=()
  for i in "$@"; do
    killed+=("${DAEMON_PIDS[$i]}")
  done
  kill_and_wait "${killed[@]}"
  for i in "$@"; do
    start_platform_daemon "$i"
    DAEMON_PIDS[i]=$PID
  done
  for i in "$@"; do
    wait_for 5 is_platform_ready "$i"
  done
}
# count_served FIRST LAST INDEX...: sends requests to the daemons until LAST
# milliseconds after the publication, and prints how many of those sent later
# than FIRST were served.
count_served() {
  local first=$1 last=$2 at served=0 number=0 i
  shift 2
  while at=$(since_publication) && ((at < last)); do
    for i in "$@"; do
      if ask "$i" "$i-$published-$((number += 1))" /stream/x &&
        ((at > first)); then
        served=$((served + 1))
      fi
    done
  done
  echo "$served"
}

# expect_none_late: checks that no daemon uses superseded weights after their
# bound.
expect_none_late() {
  local late
  late=$(count_served "$VERSION_MS" $((VERSION_MS + AFTER_MS)) 0 1 2)
  ((late == 0)) || fail "$late requests were sent to superseded weights"
}

# One daemon starts soon after the publication: its peers know when that was.
publish 2
restart 1
wait_for 2 ask 1 restarted /stream/x

# All start shortly before the bound.
wait_for 6 eval '(($(since_publication) > VERSION_MS - 1200))'
restart 0 1 2
expect_none_late

# All start soon after the next publication: its record tells them when it was.
start_replica e3 engines m 2
start_replica e4 engines m 2
remove_item servers/e1
remove_item servers/e2
for daemon in 0 1 2; do
  wait_for 5 ask "$daemon" "loaded-$daemon" /stream/x
done
publish 3
wait_for 2 grep -q '"publication_recorded".*"version":"3".*"end":"done"' \
  "$WORK"/entry-?.log
restart 0 1 2
for daemon in 0 1 2; do
  wait_for 2 ask "$daemon" "started-$daemon" /stream/x
done
expect_none_late
