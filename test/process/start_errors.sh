#!/usr/bin/env bash
# Checks that programs which cannot start report the reason and the matching
# exit status.
source "$(dirname "$0")/harness.sh"

# expect_exit STATUS PATTERN COMMAND...: checks the exit status and the output.
expect_exit() {
  local wanted=$1 pattern=$2 status=0
  shift 2
  "$@" >"$WORK/out" 2>&1 || status=$?
  ((status == wanted)) || fail "$*: status $status, not $wanted: $(cat "$WORK/out")"
  grep -q "$pattern" "$WORK/out" || fail "$*: $(cat "$WORK/out")"
}

daemon=$BUILD/tools/cuminswitchd
cuminctl=$BUILD/tools/cuminctl
make_ports 3
write_settings 0 a "127.0.0.1:${PORTS[0]}" "${PORTS[1]}" "${PORTS[2]}" ""
expect_exit 0 "no findings" "$daemon" --check "$WORK/entry-0.toml"
expect_exit 2 "cannot be read" "$daemon" "$WORK/nothing.toml"
expect_exit 2 "unknown option" "$daemon" --nothing
sed 's/^host = .*/hots = 3/' "$WORK/entry-0.toml" >"$WORK/bad.toml"
expect_exit 3 "hots: unknown key" "$daemon" "$WORK/bad.toml"
expect_exit 3 "host: is missing" "$daemon" "$WORK/bad.toml"
start_stand_in taken service_stand_in
sed "s/^caller_address = .*/caller_address = \"$ADDRESS\"/" \
  "$WORK/entry-0.toml" >"$WORK/taken.toml"
expect_exit 1 "cannot listen on $ADDRESS" "$daemon" "$WORK/taken.toml"

expect_exit 2 "unknown command" "$cuminctl" nothing
expect_exit 2 "numeric address" "$cuminctl" show --platform here
expect_exit 1 "does not answer" "$cuminctl" show \
  --platform "127.0.0.1:${PORTS[0]}"
expect_exit 1 "nothing was accepted\|does not answer" "$cuminctl" submit \
  --platform "127.0.0.1:${PORTS[0]}" "$SOURCE/examples/slovak.toml"
echo 'format = 1' >"$WORK/document.toml"
expect_exit 3 "platform: must be a table" "$cuminctl" check \
  "$WORK/document.toml"
expect_exit 0 "no findings" "$cuminctl" check "$SOURCE/examples/slovak.toml"
expect_exit 0 "no findings" "$cuminctl" check "$SOURCE/examples/sneachta.toml"

# A daemon without platform and peers runs, is healthy, and is not ready.
start_daemon 0
healthy() { "$BUILD/utils/fetch" "127.0.0.1:${PORTS[1]}" /healthz; }
wait_for 5 healthy
is_ready "${PORTS[1]}" >/dev/null 2>&1 && fail "ready without a configuration"
true
