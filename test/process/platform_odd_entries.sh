#!/usr/bin/env bash
# Guards against daemons that end, stop following the store or stop serving
# because another writer left an entry among those of the upstreams that cannot
# be used: too deeply nested, with numbers or a port out of range.
source "$(dirname "$0")/platform.sh"
VERSION_MS=2000
# Enough retries for the requests that reach an address without a listener.
BOUNDS="version-ms = $VERSION_MS
retry-ratio = 2.0
retry-slack = 2000"

# put_file KEY FILE: writes the content of FILE to the store.
put_file() {
  {
    printf '{"precondition":[],"puts":[{"key":"%s","value":"' "$1"
    base64 -w0 <"$2"
    printf '"}],"remove":[]}'
  } >"$WORK/body"
  FETCH_BODY_FILE=$WORK/body "$BUILD/utils/fetch" "$STORE" /kv-txn @ >/dev/null
}

# entry FIELD VALUE: prints the entry of an engine whose FIELD is VALUE. Nothing
# listens at its address.
entry() {
  local -A fields=([backend]='"engines"' [address]='"127.0.0.1:9"' [zone]='"z1"'
    [version]='"v1"' [slots]=64 [state]='"ready"' [seq]=1 [cold-left-ms]=0
    [models]='[{"name":"m","version":1}]')
  local name text=
  fields[$1]=$2
  for name in "${!fields[@]}"; do
    text+="${text:+,}\"$name\":${fields[$name]}"
  done
  echo "{$text}"
}

# renew: writes the next heartbeat of e1, which is well formed, and sends streams
# to all daemons. Whether e1 has run one of them.
SEQUENCE=1
renew() {
  local index part before
  SEQUENCE=$((SEQUENCE + 1))
  entry address "\"$E1\"" |
    sed "s/\"seq\":1/\"seq\":$SEQUENCE,\"born\":1000/" >"$WORK/heartbeat"
  put_file servers/e1 "$WORK/heartbeat"
  before=$(grep -c "^run " "$WORK/e1.log" || true)
  for index in "${!DAEMON_PIDS[@]}"; do
    for part in 1 2 3; do
      PARTS="$SEQUENCE$part:50" ask "$index" "renew-$SEQUENCE-$part-$index" \
        /resume/x || fail "daemon $index serves no stream: $(cat "$WORK/err")"
    done
  done
  (($(grep -c "^run " "$WORK/e1.log" || true) > before))
}

nested() { head -c "$1" /dev/zero | tr '\0' '['; }

# check_serving NAME: checks that all daemons run, serve, and follow a change
# of the configuration and of the upstreams.
VERSION=1
check_serving() {
  local index
  VERSION=$((VERSION + 1))
  put_configuration "$VERSION"
  for index in "${!DAEMON_PIDS[@]}"; do
    kill -0 "${DAEMON_PIDS[index]}" || fail "$1: daemon $index has ended"
    wait_for 5 grep -q "\"configuration\":$VERSION," "$WORK/entry-$index.log" ||
      fail "$1: daemon $index does not follow the store"
    ask "$index" "$1-stream-$index" /resume/x ||
      fail "$1: daemon $index serves no stream: $(cat "$WORK/err")"
    ask "$index" "$1-order-$index" /once/x ||
      fail "$1: daemon $index serves no order: $(cat "$WORK/err")"
  done
}

# check_past_bound NAME: checks the daemons until superseded weights may no
# longer be used.
check_past_bound() {
  local end=$(($(millis) + VERSION_MS + 500)) round=0
  while (($(millis) < end)); do
    round=$((round + 1))
    check_serving "$1-$round"
  done
}

start_platform 3
E1=$(sed -n 's/^listening on //p' "$WORK/e1.log")
check_serving before
wait_for 10 renew
# One entry under the key of a living engine, which goes on with its heartbeats.
while read -r name field value; do
  entry "$field" "$value" >"$WORK/odd"
  put_file servers/e1 "$WORK/odd"
  check_serving "own-$name"
  wait_for 20 renew || fail "e1 gets no requests after its entry had a $name"
done <<ENTRIES
port address "127.0.0.1:99999"
overflow slots 1e400
last-sequence seq 18446744073709551615
start born 1e30
last-start born 18446744073709551615
last-version models [{"name":"m","version":18446744073709551615}]
nested-field zone $(nested 20000)
ENTRIES

NUMBER=0
# leave NAME FILE: stores the content of FILE under an id of its own.
leave() {
  NUMBER=$((NUMBER + 1))
  put_file "servers/odd-$NUMBER" "$2"
  check_serving "$1"
}
while read -r name field value; do
  entry "$field" "$value" >"$WORK/odd"
  leave "$name" "$WORK/odd"
done <<ENTRIES
port address "127.0.0.1:99999"
no-port address "127.0.0.1:0"
negative slots -1
overflow slots 1e400
many-slots slots 99999999999999999999999
sequence seq 123456789012345678901234567890
last-sequence seq 18446744073709551615
cold cold-left-ms 1e999
start born 1e30
last-start born 18446744073709551615
next-version models [{"name":"m","version":2}]
last-version models [{"name":"m","version":18446744073709551615}]
large-version models [{"name":"m","version":1e25}]
nested-field zone $(nested 20000)
ENTRIES
nested 700000 >"$WORK/odd"
leave nested "$WORK/odd"
printf '{"a":%.0s' {1..50000} >"$WORK/odd"
leave nested-objects "$WORK/odd"
entry models '[{"name":"m","version":3}]' | sed 's/"engines"/"orders"/' >"$WORK/odd"
leave plain-service "$WORK/odd"

check_past_bound later

# Daemons that start read the entries too.
restart_platform_daemons
check_serving restarted
check_past_bound restarted-later
