# Shell functions that start stand-ins and daemons on loopback, and stop only
# the processes that they started. Sourced by demo.sh, experiment.sh and the
# process tests.
#
# BUILD is the build folder, WORK a scratch folder that the caller removes.

started_pids=()

# stop_all: kills every process that was started, and waits for it.
stop_all() {
  local pid
  for pid in "${started_pids[@]}"; do
    kill "$pid" 2>/dev/null || true
  done
  for pid in "${started_pids[@]}"; do
    kill -9 "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  started_pids=()
}

# kill_and_wait PID...: kills child processes and waits until their ports are
# free.
kill_and_wait() {
  kill -9 "$@"
  wait "$@" 2>/dev/null || true
}

# wait_for SECONDS COMMAND...: retries the command until it succeeds; fails
# after SECONDS. The last try begins after that time: one that began before it
# says nothing about the end if the machine stalled meanwhile.
wait_for() {
  local deadline=$((SECONDS + $1)) is_last
  shift
  while :; do
    is_last=$((SECONDS >= deadline))
    "$@" >/dev/null 2>&1 && return
    if ((is_last)); then
      echo "timed out: $*" >&2
      return 1
    fi
    read -rt 0.05 <> <(:) || true
  done
}

# start_stand_in NAME PROGRAM OPTION...: starts the stand-in on a free port;
# sets ADDRESS to its address and PID to its process id.
start_stand_in() {
  local log="$WORK/$1.log"
  shift
  "$BUILD/utils/$1" "${@:2}" >"$log" 2>&1 &
  PID=$!
  started_pids+=("$PID")
  wait_for 10 grep -q "listening on" "$log"
  ADDRESS=$(sed -n 's/^listening on //p' "$log")
}

# make_ports COUNT: sets the array PORTS to free ports.
make_ports() {
  mapfile -t PORTS < <("$BUILD/utils/free_ports" "$1")
}

# write_settings INDEX FAILURE_DOMAIN PLATFORM CALLER_PORT PEER_PORT SEEDS:
# writes the settings of the daemon on host entry-INDEX. TIME_TO_LIVE and POLICY
# override two of them.
write_settings() {
  cat >"$WORK/entry-$1.toml" <<SETTINGS
host = "entry-$1"
failure_domain = "$2"
caller_address = "127.0.0.1:$4"
platform_address = "$3"
address_time_to_live_seconds = ${TIME_TO_LIVE:-5}

[peers]
address = "127.0.0.1:$5"
seeds = [$6]
credential = "example-peer-credential"

[routing]
policy = "${POLICY:-prefix_cost}"
SETTINGS
}

# start_daemon INDEX: starts the daemon of entry-INDEX; sets PID to its process
# id.
start_daemon() {
  "$BUILD/tools/cuminswitchd" "$WORK/entry-$1.toml" \
    >>"$WORK/entry-$1.log" 2>&1 &
  PID=$!
  started_pids+=("$PID")
}

# start_daemons COUNT PLATFORM DOMAIN...: starts daemons spread over the failure
# domains; sets CALLER_PORTS, PEER_PORTS and DAEMON_PIDS.
start_daemons() {
  local count=$1 platform=$2 i seeds=""
  shift 2
  local domains=("$@")
  make_ports $((2 * count))
  CALLER_PORTS=("${PORTS[@]:0:count}")
  PEER_PORTS=("${PORTS[@]:count:count}")
  for ((i = 0; i < count; ++i)); do
    seeds+="${seeds:+, }\"127.0.0.1:${PEER_PORTS[i]}\""
  done
  DAEMON_PIDS=()
  for ((i = 0; i < count; ++i)); do
    write_settings "$i" "${domains[i % ${#domains[@]}]}" "$platform" \
      "${CALLER_PORTS[i]}" "${PEER_PORTS[i]}" "$seeds"
    start_daemon "$i"
    DAEMON_PIDS+=("$PID")
  done
}

# start_upstreams DOCUMENT OUTPUT ENGINE_OPTION...: starts a stand-in for each
# upstream of the document, writes the document with their addresses to OUTPUT,
# and appends the addresses to UPSTREAM_ADDRESSES.
start_upstreams() {
  local document=$1 output=$2 old name kind model version
  shift 2
  version=$(sed -n 's/^version = "\(.*\)"/\1/p' "$document")
  cp "$document" "$output"
  while read -r name kind old model; do
    if [[ $kind == engine ]]; then
      start_stand_in "$name" engine_stand_in --model "$model" \
        --version "$version" "$@"
    else
      start_stand_in "$name" service_stand_in
    fi
    sed -i "s/\"$old\"/\"$ADDRESS\"/" "$output"
    UPSTREAM_ADDRESSES+=("$ADDRESS")
  done < <(awk '
    /^\[\[upstream\]\]/ { in_upstream = 1 }
    /^$/ { if (in_upstream) print name, kind, address, model; in_upstream = 0 }
    in_upstream && /^name/ { gsub(/"/, ""); name = $3 }
    in_upstream && /^kind/ { gsub(/"/, ""); kind = $3 }
    in_upstream && /^address/ { gsub(/"/, ""); address = $3 }
    in_upstream && /^serves/ { gsub(/[]["]/, ""); model = $3 }' "$document")
}

# is_ready PORT: succeeds when the daemon can serve requests.
is_ready() {
  "$BUILD/utils/fetch" "127.0.0.1:$1" /readyz
}
