#!/usr/bin/env bash
# Guards against a daemon that runs out of memory when hundreds of slow callers
# have sent large request bodies in part. Other callers must still be served.
MEMORY_MB=88
source "$(dirname "$0")/platform.sh"
start_platform 1

CALLERS=300
PART_SIZE=262144
address=$(front 0)
part=$(head -c "$PART_SIZE" /dev/zero | tr '\0' x)
fds=()
for ((i = 0; i < CALLERS; ++i)); do
  exec {fd}<>"/dev/tcp/${address%:*}/${address#*:}"
  fds+=("$fd")
  printf 'POST /repeat/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: slow-%d\r\nAuthorization: Token key1\r\nContent-Length: 4000000\r\n\r\n%s' \
    "$i" "$part" >&"$fd" 2>/dev/null || true
  if ((i % 10 == 0)); then
    ask 0 "sound-$i" /repeat/x || fail "sound-$i was not served: $(cat "$WORK/err")"
  fi
done
kill -0 "${DAEMON_PIDS[0]}" || fail "the daemon has exited"
peak=$(sed -n 's/^VmHWM:[^0-9]*\([0-9]*\).*/\1/p' "/proc/${DAEMON_PIDS[0]}/status")
echo "$CALLERS slow callers, $((CALLERS * PART_SIZE / 1024)) KB sent: peak $peak KB"
((peak < MEMORY_MB * 1024)) || fail "peak memory of $peak KB"
"$BUILD/utils/fetch" "127.0.0.1:${PORTS[4]}" /metrics >"$WORK/metrics"
refused=$(sed -n 's/^cuminswitch_refused_for_memory_total //p' "$WORK/metrics")
((refused > 0)) || fail "nothing was refused"
wait_for 5 grep -q '"event":"requests_refused_for_memory"' "$WORK/entry-0.log" ||
  fail "no requests_refused_for_memory event in the log"
for fd in "${fds[@]}"; do
  exec {fd}>&-
done
ask 0 after /repeat/x || fail "after was not served: $(cat "$WORK/err")"
