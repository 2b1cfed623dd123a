# Shared by the scripts: starts stand-ins and instances, and stops by id what
# was started here. Source it; it needs ROOT and RUN (a folder for this run).

BIN="${BIN:-$ROOT/target/release}"
PIDS=()
NAMES=()

# start NAME COMMAND...: starts a process and notes its id.
start() {
  local name="$1"; shift
  "$@" >"$RUN/$name.out" 2>"$RUN/$name.log" &
  PIDS+=("$!"); NAMES+=("$name")
  eval "PID_${name//[^a-zA-Z0-9]/_}=$!"
}

# pid_of NAME: the id of a process that was started here.
pid_of() { eval "echo \${PID_${1//[^a-zA-Z0-9]/_}}"; }

# stop_all: stops everything that was started here, by id: instances first, as
# planned, then the stand-ins.
stop_all() {
  local i name pid
  for i in "${!PIDS[@]}"; do
    name="${NAMES[$i]}"; pid="${PIDS[$i]}"
    case "$name" in entry-*) kill -TERM "$pid" 2>/dev/null || true ;; esac
  done
  for i in "${!PIDS[@]}"; do
    name="${NAMES[$i]}"; pid="${PIDS[$i]}"
    case "$name" in entry-*) wait "$pid" 2>/dev/null || true ;; esac
  done
  for i in "${!PIDS[@]}"; do kill "${PIDS[$i]}" 2>/dev/null || true; done
  for i in "${!PIDS[@]}"; do wait "${PIDS[$i]}" 2>/dev/null || true; done
  PIDS=(); NAMES=()
}

# wait_for URL: waits until a URL answers with success.
wait_for() {
  local i
  for i in $(seq 1 200); do
    curl -sf -o /dev/null "$1" && return 0
    sleep 0.05
  done
  echo "no answer from $1" >&2
  return 1
}

# list_instance ID GROUP ZONE ADDRESS [OPERATOR]: puts an instance into the
# platform's list.
list_instance() {
  local operator=""
  [ -n "${5:-}" ] && operator=",\"operator_address\":\"$5\""
  curl -sf -X PUT "$PLATFORM/instances/$1" -d "{\"id\":\"$1\",\"group\":\"$2\",\"zone\":\"$3\",\"address\":\"$4\",\"state\":\"live\"$operator}"
}

# start_platform: the platform and the weight store. RATE, AT_ONCE and LOAD_MS
# set the weight store.
start_platform() {
  PLATFORM="http://127.0.0.1:$((PORT + 0))"
  STORE="http://127.0.0.1:$((PORT + 1))"
  start object-api "$BIN/examples/object_api" --listen "127.0.0.1:$((PORT + 0))"
  start weight-store "$BIN/examples/weight_store" \
    --listen "127.0.0.1:$((PORT + 1))" --rate-per-s "${RATE:-9}" \
    --concurrency "${AT_ONCE:-6}" --load-ms "${LOAD_MS:-500}"
  wait_for "$PLATFORM/stats"
  wait_for "$STORE/stats"
  export SEDGEWALL_PLATFORM="$PLATFORM"
}

# start_engine N GROUP ZONE [FLAGS...]: engine stand-in number N.
start_engine() {
  local n="$1" group="$2" zone="$3"; shift 3
  local address="127.0.0.1:$((PORT + 100 + n))"
  start "engine-$n" "$BIN/examples/engine" --listen "$address" \
    --weight-store "$STORE" "$@"
  list_instance "engine-$n" "$group" "$zone" "$address"
}

# start_service N GROUP ZONE: plain service stand-in number N.
start_service() {
  local address="127.0.0.1:$((PORT + 300 + $1))"
  start "service-$1" "$BIN/examples/plain_service" --listen "$address"
  list_instance "service-$1" "$2" "$3" "$address"
}

caller_address() { echo "127.0.0.1:$((PORT + 400 + $1))"; }
operator_address() { echo "127.0.0.1:$((PORT + 500 + $1))"; }
peer_address() { echo "127.0.0.1:$((PORT + 600 + $1))"; }

# start_entry N ZONE: instance number N of sedgewalld.
start_entry() {
  local n="$1" zone="$2"
  cat >"$RUN/entry-$n.yaml" <<YAML
instance: entry-$n
zone: $zone
caller_listen: $(caller_address "$n")
operator_listen: $(operator_address "$n")
peer_listen: $(peer_address "$n")
platform_url: $PLATFORM
YAML
  start "entry-$n" "$BIN/sedgewalld" --settings "$RUN/entry-$n.yaml"
  list_instance "entry-$n" sedgewall "$zone" "tcp://$(peer_address "$n")" \
    "$(operator_address "$n")"
}

# wait_ready N...: waits until instances take requests.
wait_ready() {
  local n
  for n in "$@"; do wait_for "http://$(operator_address "$n")/readyz"; done
}

# wait_led SHARD...: waits until each shard has a leader.
wait_led() {
  local shard i
  for shard in "$@"; do
    for i in $(seq 1 200); do
      "$BIN/sedgewall" status | grep -q "shard $shard: led" && break
      [ "$i" = 200 ] && { echo "nobody leads $shard" >&2; return 1; }
      sleep 0.05
    done
  done
}
