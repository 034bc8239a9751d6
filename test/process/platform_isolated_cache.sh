#!/usr/bin/env bash
# Guards against cached prompts of a workspace that stay within reach of others
# after it has become isolated.
source "$(dirname "$0")/platform.sh"
COUNT=2
OTHER_WORKSPACES='{"name":"w3","api-keys":["key3"]}'
start_platform $COUNT

# salt ID: prints the cache salt with which the request was executed.
salt() { cat "$WORK"/e?.log | sed -n "s/^run $1 w[123] //p"; }

# configure VERSION W2_FIELDS: puts a configuration into force at all daemons.
configure() {
  local i
  W2_FIELDS=$2 put_configuration "$1" "{\"name\":\"v$1\",\"host\":\"h\",
    \"path-prefix\":\"/v$1/\",\"kind\":\"stream\",\"timeout-ms\":5000,
    \"backend\":\"engines\",\"attempts\":1}"
  for ((i = 0; i < COUNT; ++i)); do
    wait_for 5 ask "$i" "wait$RANDOM" "/v$1/x" key2
  done
}

# run_all PREFIX: sends a request of each workspace through each daemon.
run_all() {
  local i workspace
  for ((i = 0; i < COUNT; ++i)); do
    for workspace in 1 2 3; do
      ask "$i" "$1$i-w$workspace" /stream/x "key$workspace" ||
        fail "$1$i-w$workspace: $(cat "$WORK/err")"
    done
  done
  for workspace in 1 2 3; do
    [[ $(salt "${1}0-w$workspace") == "$(salt "${1}1-w$workspace")" ]] ||
      fail "daemons use different salts of w$workspace"
  done
}

run_all a
[[ $(salt a0-w2) == "$(salt a0-w3)" ]] || fail "w2 and w3 do not share"

configure 2 ',"isolated":true'
run_all b
for salt in $(salt b0-w1) $(salt b0-w2) $(salt b0-w3); do
  [[ $salt != "$(salt a0-w2)" ]] || fail "a cache of w2 can be reached"
done
[[ $(salt b0-w2) != "$(salt b0-w3)" ]] || fail "an isolated workspace shares"

# What w2 adds while it is not isolated must not be found when it is again.
configure 3 ''
run_all c
[[ $(salt c0-w2) == "$(salt c0-w3)" ]] || fail "w2 and w3 do not share again"
configure 4 ',"isolated":true'
restart_platform_daemons
run_all d
[[ $(salt d0-w3) != "$(salt c0-w2)" ]] || fail "a later cache can be reached"
[[ $(salt d0-w3) == "$(salt b0-w3)" ]] || fail "the salt depends on the start"
