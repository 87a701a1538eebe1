# Functions that start stand-ins and proxies on loopback; sourced by the scripts here.
# KEEP=DIR keeps settings and logs in a directory.
PYTHON=${PYTHON:-python3}
START_LIMIT_S=${START_LIMIT_S:-15}

# A separate loopback network, so that two runs on one machine don't interfere.
NET=${NET:-127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))}
PLATFORM=$NET.1:8500
CONTROL=$NET.2:8600
UPSTREAMS="$NET.11:6432 $NET.12:6432 $NET.13:6432"
PIDS=()

if [ -n "${KEEP:-}" ]; then
  WORK=$KEEP
  mkdir -p "$WORK"
else
  WORK=$(mktemp -d)
fi

cleanup() {
  trap - EXIT INT TERM
  for pid in "${PIDS[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${PIDS[@]}"; do wait "$pid" 2>/dev/null || true; done
  if [ -z "${KEEP:-}" ]; then rm -rf "$WORK"; fi
}
trap cleanup EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# start NAME MODULE ARGUMENTS...: runs a module in the background.
start() {
  local name=$1 module=$2
  shift 2
  # The daemon's log is its standard output.
  local out=$WORK/$name.out
  [ "$module" != daemon ] || out=$WORK/$name.log
  "$PYTHON" -m "ebonyrack.scripts.$module" "$@" \
    >>"$out" 2>>"$WORK/$name.log" &
  PIDS+=($!)
}

# wait_for NAME FILE WORDS: returns once a process has written the words.
wait_for() {
  local tries=$((START_LIMIT_S * 10))
  until grep -qs "$3" "$WORK/$2"; do
    tries=$((tries - 1))
    if [ "$tries" -le 0 ]; then
      echo "$1 did not start; the end of its log:" >&2
      tail -n 20 "$WORK/$1.log" >&2
      exit 2
    fi
    sleep 0.1
  done
}

start_platform() {
  start platform standin platform --listen "$PLATFORM"
  wait_for platform platform.out "listening on"
}

# start_upstreams SIZES...: three upstream processes; PRIMARY_PID is the first.
start_upstreams() {
  local first="up-1=$NET.11:6432" second="up-2=$NET.12:6432"
  local third="up-3=$NET.13:6432" name
  start up-1 standin upstream --listen "${first#*=}" --name up-1 "$@" \
    --initial-role primary --peers "$second" "$third"
  PRIMARY_PID=$!
  start up-2 standin upstream --listen "${second#*=}" --name up-2 "$@" \
    --initial-role replica --peers "$first" "$third"
  start up-3 standin upstream --listen "${third#*=}" --name up-3 "$@" \
    --initial-role replica --peers "$first" "$second"
  for name in up-1 up-2 up-3; do
    wait_for "$name" "$name.out" "listening on"
  done
}

# start_group SIZES...: the three upstreams in one process with fault injection.
start_group() {
  # shellcheck disable=SC2086
  start group standin group --listen $UPSTREAMS --control "$CONTROL" "$@"
  wait_for group group.out "listening on"
}

# write_document KEYS: the operators' document, with additional keys of the group.
write_document() {
  cat <<END
[group booking]
owner = database
upstreams = up-1=$NET.11:6432@bangkok-1, up-2=$NET.12:6432@bangkok-2,
    up-3=$NET.13:6432@nonthaburi
$1

[application demo]
owner = booking
user = booking
verifier = SCRAM-SHA-256\$4096:ZWJvbnlyYWNrLWRlbW8tMQ==\$BI8GJHwiwPqxXPcX2qoYziQNo5tW3wOmN5VkZX337Vc=:gmNMu4szBUqz0d2ygNfEbkUMgYPGSUEjSaDcliuVAxk=
groups = booking
maximum_callers = 10000

[network siam]
owner = network
data_centres = bangkok-1 bangkok-2 nonthaburi
END
}

# write_settings NUMBER DATA_CENTRE LEVEL TRUST: settings of one proxy.
write_settings() {
  cat <<END
[proxy]
name = proxy-$1
data_centre = $2
caller_address = $NET.2$1:5432
peer_address = $NET.2$1:7000
maximum_callers = 10000
trust_loopback_callers = $4

[store]
address = $PLATFORM

[peers]
seeds = $NET.21:7000 $NET.22:7000 $NET.23:7000
secret = demo-peer-secret

[log]
level = $3
END
}

# start_proxies COUNT KEYS [LEVEL [TRUST]]: writes the document and starts proxies.
# Sets PROXIES, PEERS, PROXY_PIDS and PROXY_LOGS.
start_proxies() {
  local number data_centre
  PROXIES=() PEERS=() PROXY_PIDS=() PROXY_LOGS=()
  write_document "$2" >"$WORK/document.ini"
  "$PYTHON" -m ebonyrack.scripts.load document \
    --store "$PLATFORM" --file "$WORK/document.ini"
  for number in $(seq "$1"); do
    data_centre=$(echo "nonthaburi bangkok-1 bangkok-2" | cut -d' ' -f$((number % 3 + 1)))
    write_settings "$number" "$data_centre" "${3:-info}" "${4:-false}" \
      >"$WORK/proxy-$number.ini"
    start "proxy-$number" daemon --config "$WORK/proxy-$number.ini"
    PROXIES+=("$NET.2$number:5432")
    PEERS+=("$NET.2$number:7000")
    PROXY_PIDS+=($!)
    PROXY_LOGS+=("$WORK/proxy-$number.log")
  done
  for number in $(seq "$1"); do
    wait_for "proxy-$number" "proxy-$number.log" proxy_serving
  done
}

# Sizes of one of Siam's groups: three slots, 20 connections, 10 ms to open one.
start_siam_upstreams() {
  start_upstreams --connection-limit 20 --slots 3 --connection-cost-s 0.01 \
    --statement-cost-s 0.001 --link-delay-s 0.001
}

start_siam_proxies() {
  start_proxies 3 "connection_limit = 20
slots = 3"
}

# start_booking OPTIONS...: the booking workload in the background, as LOAD_PID, with
# CALLERS callers for DURATION_S; it ends within FINISH_LIMIT_S if that is set.
start_booking() {
  # shellcheck disable=SC2086
  timeout "${FINISH_LIMIT_S:-0}" "$PYTHON" -m ebonyrack.scripts.load booking \
    --proxies "${PROXIES[@]}" --upstreams $UPSTREAMS --user booking \
    --password demo-password --callers "$CALLERS" --think-s 0.01 \
    --duration-s "$DURATION_S" "$@" &
  LOAD_PID=$!
  PIDS+=("$LOAD_PID")
}
