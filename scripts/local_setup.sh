# Functions that start the stand-ins and entries on loopback, and stop just
# those. Sourced by scripts/demo and scripts/load; BIN is the build directory.
BIN=${BIN:-build}
work=$(mktemp -d)
declare -a stand_in_pids=() entry_pids=()
# Runs side by side use blocks of ports of their own, below the range from
# which the system takes ports for connections.
platform_port=${BASE_PORT:-$((18000 + $$ % 70 * 200))}
upstream_port=$((platform_port + 10))
entry_port=$((platform_port + 100))
upstream_admin=http://127.0.0.1:$((upstream_port - 1))
tool=$BIN/packages/tool/tarragondrift

# Waits until a URL answers with a success, for at most so many seconds.
wait_for() {
  local url=$1 seconds=$2
  for ((turn = 0; turn < seconds * 10; ++turn)); do
    curl -fs -o "$work/reply" "$url" && return 0
    sleep 0.1
  done
  echo "event=wait_failed url=$url" >&2
  return 1
}

# Fails unless every process that was started here still runs: a port that is
# taken ends a process, and another one's answer must not pass for its own.
check_running() {
  local pid
  for pid in "${stand_in_pids[@]}" "${entry_pids[@]}"; do
    if ! kill -0 "$pid" 2>/dev/null; then
      echo "event=process_ended pid=$pid" >&2
      return 1
    fi
  done
}

# start_stand_ins DATA_CENTRES INSTANCES_EACH SLOTS: the platform, and upstream
# instances that are listed in their data centres.
start_stand_ins() {
  local data_centres=$1 each=$2 slots=$3 port=$upstream_port
  local -a listed=()
  for ((dc = 1; dc <= data_centres; ++dc)); do
    for ((instance = 1; instance <= each; ++instance)); do
      listed+=(--instance "plata,127.0.0.1:$port,dc$dc,r$instance,$slots")
      port=$((port + 1))
    done
  done
  "$BIN/packages/fakes/fake_platform" --table-port "$platform_port" \
    --objects-port $((platform_port + 1)) \
    --instances-port $((platform_port + 2)) \
    --admin-port $((platform_port + 3)) \
    --writes-per-s 500 --reads-per-s 2000 --lag-ms 200 "${listed[@]}" \
    >"$work/platform.log" 2>&1 &
  stand_in_pids+=($!)
  "$BIN/packages/fakes/fake_upstream" --first-port "$upstream_port" \
    --instances $((data_centres * each)) --slots "$slots" \
    --admin-port $((upstream_port - 1)) >"$work/upstream.log" 2>&1 &
  stand_in_pids+=($!)
  wait_for "http://127.0.0.1:$((platform_port + 3))/stats" 10
  wait_for "$upstream_admin/stats" 10
  check_running
}

callers_of() { echo "http://127.0.0.1:$((entry_port + 10 * $1))"; }
operators_of() { echo "http://127.0.0.1:$((entry_port + 10 * $1 + 1))"; }

# start_entry NUMBER DATA_CENTRE_NUMBER [FLAGS]: one entry of a data centre.
start_entry() {
  local number=$1 dc=$2 port=$((entry_port + 10 * $1))
  shift 2
  "$BIN/packages/daemon/tarragondriftd" --environment production \
    --data-centre "dc$dc" --data-centre-number "$dc" \
    --callers "127.0.0.1:$port" --operators "127.0.0.1:$((port + 1))" \
    --peers "127.0.0.1:$((port + 2))" \
    --table-url "http://127.0.0.1:$platform_port" \
    --objects-url "http://127.0.0.1:$((platform_port + 1))" \
    --instances-url "http://127.0.0.1:$((platform_port + 2))" \
    --log "$work/entry$number.log" "$@" >"$work/entry$number.out" 2>&1 &
  entry_pids+=($!)
  wait_for "http://127.0.0.1:$((port + 1))/healthz" 10
  check_running
}

# promote FILE OPERATORS: tries a document, then promotes it unchanged.
promote() {
  local file=$1 operators=$2 digest
  "$tool" config check "$file" --operator "$operators" --json >"$work/check"
  digest=$("$tool" config try "$file" --by demo --operator "$operators" \
    --json | grep -o '"digest":"[0-9a-f]*"' | head -1 | cut -d'"' -f4)
  "$tool" config promote "$digest" --by demo --operator "$operators" \
    --json >"$work/promote"
  echo "event=promoted digest=$digest"
}

# wait_config OPERATORS: waits until an entry has a configuration in force and
# an instance to send work to.
wait_config() {
  for ((turn = 0; turn < 150; ++turn)); do
    if curl -fs "$1/v1/status" >"$work/status" &&
      ! grep -q '"config_version":0[,}]' "$work/status" &&
      grep -Eq '"share":[1-9]' "$work/status"; then
      return 0
    fi
    sleep 0.1
  done
  echo "event=wait_failed cause=no_config_or_instance entry=$1" >&2
  return 1
}

# stop_all: a graceful stop of what was started here.
# Returns 1 when an entry does not exit with 0.
stop_all() {
  local failed=0 pid
  for pid in "${entry_pids[@]}"; do
    kill -TERM "$pid" 2>/dev/null || failed=1
  done
  for pid in "${entry_pids[@]}"; do
    wait "$pid" || failed=1
  done
  entry_pids=()
  for pid in "${stand_in_pids[@]}"; do
    kill -TERM "$pid" 2>/dev/null || true
    wait "$pid" || true
  done
  stand_in_pids=()
  return "$failed"
}

# Leaves nothing running behind, also when a step fails.
clean_up() {
  local status=$?
  stop_all || true
  if ((status == 0)); then
    rm -rf "$work"
  else
    echo "event=failed status=$status logs=$work" >&2
  fi
}
trap clean_up EXIT
