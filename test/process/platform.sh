# Sourced by the process tests of daemons with --platform: starts a store,
# upstreams and daemons, and defines helpers.
source "$(dirname "${BASH_SOURCE[0]}")/harness.sh"

# put KEY VALUE: writes an entry to the store.
put() {
  "$BUILD/utils/fetch" "$STORE" /kv-txn "{\"precondition\":[],\"puts\":[{
    \"key\":\"$1\",\"value\":\"$(base64 -w0 <<<"$2")\"}],\"remove\":[]}" \
    >/dev/null
}

# remove_item KEY: removes an entry from the store.
remove_item() {
  "$BUILD/utils/fetch" "$STORE" /kv-txn \
    "{\"precondition\":[],\"puts\":[],\"remove\":[\"$1\"]}" >/dev/null
}

# start_store: starts a store that also listens at SECOND, where faults can be
# set separately.
start_store() {
  start_stand_in store store_stand_in --second 127.0.0.1:0
  STORE=$ADDRESS
  SECOND=$(sed -n 's/^also listening on //p' "$WORK/store.log")
}

# store_fault MODE [NAME]: sets the fault mode refuse, silent, lost or none.
# With NAME, only for calls whose Host is that name.
store_fault() {
  "$BUILD/utils/fetch" "$STORE" "/fault?mode=$1${2:+&at=$2}" - >/dev/null
}

# has_lost_store INDEX, has_store INDEX: whether the daemon has lost the store,
# by the last such event in its log.
has_lost_store() {
  [[ $(grep -oE '"event":"dependency_(lost|regained)"' "$WORK/entry-$1.log" |
    tail -1) == *lost* ]]
}
has_store() { ! has_lost_store "$1"; }

# millis: prints the milliseconds of a monotonic clock.
millis() { awk '{ print int($1 * 1000) }' /proc/uptime; }

# put_configuration VERSION [EXTRA_ROUTE]: writes the configuration. W2_KEYS are
# the credentials of the workspace w2, W2_FIELDS further fields of it, each
# preceded by a comma. OTHER_WORKSPACES are further workspaces.
put_configuration() {
  put op/config "{\"version\":$1,\"routes\":[
    {\"name\":\"stream\",\"host\":\"h\",\"path-prefix\":\"/stream/\",
     \"kind\":\"stream\",\"timeout-ms\":5000,\"goal-ms\":800,\"priority\":1,
     \"backend\":\"engines\",\"attempts\":1},
    {\"name\":\"resume\",\"host\":\"h\",\"path-prefix\":\"/resume/\",
     \"kind\":\"stream\",\"timeout-ms\":5000,\"goal-ms\":800,\"priority\":0,
     \"backend\":\"engines\",\"attempts\":3,\"can-resume\":true},
    {\"name\":\"once\",\"host\":\"h\",\"path-prefix\":\"/once/\",
     \"kind\":\"non_idempotent\",\"timeout-ms\":600,\"backend\":\"orders\",
     \"attempts\":1},
    {\"name\":\"repeat\",\"host\":\"h\",\"path-prefix\":\"/repeat/\",
     \"kind\":\"idempotent\",\"timeout-ms\":600,\"backend\":\"orders\",
     \"attempts\":2}${2:+,$2}],
    \"services\":[{\"name\":\"engines\",\"max-conns\":100,\"engine\":{
      \"slots\":64,\"hold-ms\":2000,\"models\":[{\"name\":\"m\"}]}},
     {\"name\":\"orders\",\"max-conns\":100}],
    \"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,
     \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},
    \"tenants\":[{\"name\":\"w1\",\"api-keys\":[\"key1\"],\"isolated\":true},
     {\"name\":\"w2\",\"api-keys\":[${W2_KEYS:-\"key2\"}]${W2_FIELDS:-}}${OTHER_WORKSPACES:+,
     $OTHER_WORKSPACES}]}"
}

# start_replica ID SERVICE [MODEL [VERSION]]: starts an upstream and registers
# it in the store. SOFTWARE is the version of its software, which its events
# name.
start_replica() {
  start_stand_in "$1" replica_stand_in --id "$1" --model "${3:-}" \
    --version "${4:-1}" --software "${SOFTWARE:-}"
  list_replica "$1" "$2" "$ADDRESS" ready "${3:-}" "${4:-1}"
}

# list_replica ID SERVICE ADDRESS STATE [MODEL VERSION]: writes the store entry
# of an upstream, which has SLOTS slots.
list_replica() {
  local models="[]"
  [[ -n ${5:-} ]] && models="[{\"name\":\"$5\",\"version\":$6}]"
  put "servers/$1" "{\"backend\":\"$2\",\"address\":\"$3\",\"zone\":\"z1\",
    \"version\":\"${SOFTWARE:-v1}\",\"slots\":${SLOTS:-64},\"state\":\"$4\",\"seq\":1,
    \"cold-left-ms\":0,\"models\":$models}"
}

# start_platform_daemon INDEX: starts a daemon on the ports PORTS[5 * INDEX] to
# PORTS[5 * INDEX + 4]. BOUNDS are further lines of its [bounds], PROVIDER is
# the address of the store if not STORE.
start_platform_daemon() {
  local i=$1 seeds="${SEEDS:-}"
  cat >"$WORK/entry-$i.toml" <<SETTINGS
node-name = "entry-$i"
zone = "z1"
seeds = [$seeds]
[listen]
front = "127.0.0.1:${PORTS[5 * i]}"
ready = "127.0.0.1:${PORTS[5 * i + 1]}"
directory = "127.0.0.1:${PORTS[5 * i + 2]}"
control = "127.0.0.1:${PORTS[5 * i + 3]}"
[limits]
memory-mb = ${MEMORY_MB:-0}
[bounds]
${BOUNDS:-}
lease-ms = ${LEADER_GAP_MS:-300}
grace-s = 8
[provider]
address = "${PROVIDER:-$STORE}"
SETTINGS
  "$BUILD/tools/cuminswitchd" --platform \
    --metrics-port "${PORTS[5 * i + 4]}" "$WORK/entry-$i.toml" \
    >>"$WORK/entry-$i.log" 2>&1 &
  PID=$!
  started_pids+=("$PID")
}

front() { echo "127.0.0.1:${PORTS[5 * $1]}"; }
directory() { echo "127.0.0.1:${PORTS[5 * $1 + 2]}"; }
is_platform_ready() {
  "$BUILD/utils/fetch" "127.0.0.1:${PORTS[5 * $1 + 1]}" /ready
}

# start_platform_daemons COUNT [APART]: starts the daemons and waits until all
# are ready. The daemon APART uses the second address of the store, the others
# the first.
start_platform_daemons() {
  local i PROVIDER
  make_ports $((5 * $1))
  SEEDS="\"127.0.0.1:${PORTS[3]}\""
  DAEMON_PIDS=()
  for ((i = 0; i < $1; ++i)); do
    PROVIDER=$STORE
    [[ $i == "${2:-}" ]] && PROVIDER=$SECOND
    start_platform_daemon "$i"
    DAEMON_PIDS+=("$PID")
  done
  for ((i = 0; i < $1; ++i)); do
    wait_for 10 is_platform_ready "$i"
  done
}

# restart_platform_daemons: kills all daemons at once and starts them again.
restart_platform_daemons() {
  local i count=${#DAEMON_PIDS[@]}
  kill_and_wait "${DAEMON_PIDS[@]}"
  DAEMON_PIDS=()
  for ((i = 0; i < count; ++i)); do
    start_platform_daemon "$i"
    DAEMON_PIDS+=("$PID")
  done
  for ((i = 0; i < count; ++i)); do
    wait_for 10 is_platform_ready "$i"
  done
}

# start_platform COUNT: starts a store, two engines, two services and COUNT
# daemons. EXTRA_ROUTES are further routes of the first configuration.
start_platform() {
  start_stand_in store store_stand_in
  STORE=$ADDRESS
  put_configuration 1 "${EXTRA_ROUTES:-}"
  start_replica e1 engines m
  start_replica e2 engines m
  start_replica s1 orders
  start_replica s2 orders
  start_platform_daemons "$1"
}

# by_run_count NAME...: prints the upstreams in increasing order of the number
# of requests that they have run.
by_run_count() {
  local name
  for name in "$@"; do
    echo "$(grep -c "^run" "$WORK/$name.log") $name"
  done | sort -n | cut -d' ' -f2
}

# expect_no_log_line WHAT UPSTREAM: checks that no line in the log of the
# upstream begins with WHAT.
expect_no_log_line() {
  local count
  count=$(grep -c "^$1" "$WORK/$2.log" || true)
  ((count == 0)) || fail "$2 got $count requests $1"
}

# ask INDEX ID PATH [KEY]: sends a POST to the daemon as a caller; leaves the
# body in $WORK/out and the status in $WORK/err. BODY is the request's body,
# EXTRA_HEADERS are further headers, one per line. PARTS are the parts of the
# prompt before its last one.
ask() {
  FETCH_HEADERS="Host: h
X-Attempt-Id: $2
X-Deadline-Ms: ${DEADLINE_MS:-3000}
X-Model: m
X-Token-Usage: 100,10
X-Prompt-Prefix: ${PARTS:-aa:50,bb:40},$2:10
Authorization: Token ${4:-key1}${EXTRA_HEADERS:+
$EXTRA_HEADERS}" \
    "$BUILD/utils/fetch" "$(front "$1")" "$3" "${BODY:-body}" >"$WORK/out" 2>"$WORK/err"
}

# earn_retries INDEX PATH: sends 120 requests that are served, six at a time, so
# that the retry budget of a daemon that has just started allows retries to the
# same service.
earn_retries() {
  local i part pids=()
  for ((part = 0; part < 6; ++part)); do
    for ((i = part; i < 120; i += 6)); do
      ask "$1" "earn-$1-$i" "$2" || fail "earn-$1-$i was not served"
    done &
    pids+=("$!")
  done
  for i in "${pids[@]}"; do
    wait "$i" || fail "not all requests were served"
  done
}

# expect_status STATUS INDEX ID PATH [KEY]: sends a POST and checks the status
# of the response.
expect_status() {
  local wanted=$1
  shift
  ask "$@" || true
  grep -q "status $wanted" "$WORK/err" ||
    fail "$* gave $(cat "$WORK/err"), not $wanted"
}

# runs ID: prints how often upstreams ran the request.
runs() { cat "$WORK"/e?.log "$WORK"/s?.log | grep -c "^run $1 " || true; }
