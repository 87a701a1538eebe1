#!/usr/bin/env bash
# Runs the whole path on loopback: platform, three upstreams, three proxies and a
# booking workload through one failover. Ends within 60 s; exit status 1 if a
# booking was lost, doubled or read stale. KEEP=DIR keeps settings and logs there.
set -eu
PYTHON=${PYTHON:-python3}
DURATION_S=${DURATION_S:-25}
KILL_AFTER_S=${KILL_AFTER_S:-8}
CALLERS=${CALLERS:-24}
START_LIMIT_S=15
FINISH_LIMIT_S=50

# A network of its own, so that two runs on one machine don't meet.
NET=${NET:-127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))}
PLATFORM=$NET.1:8500
UPSTREAMS="$NET.11:6432 $NET.12:6432 $NET.13:6432"
PROXIES="$NET.21:5432 $NET.22:5432 $NET.23:5432"

cd "$(dirname "$0")/.."
if [ -n "${KEEP:-}" ]; then
  WORK=$KEEP
  mkdir -p "$WORK"
else
  WORK=$(mktemp -d)
fi
PIDS=()

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
  "$PYTHON" -m "ebonyrack.scripts.$module" "$@" \
    >"$WORK/$name.out" 2>"$WORK/$name.log" &
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

write_document() {
  cat <<END
[group booking]
owner = database
upstreams = up-1=$NET.11:6432@bangkok-1, up-2=$NET.12:6432@bangkok-2,
    up-3=$NET.13:6432@nonthaburi
connection_limit = 20
slots = 3

[application demo]
owner = booking
user = booking
verifier = SCRAM-SHA-256\$4096:ZWJvbnlyYWNrLWRlbW8tMQ==\$BI8GJHwiwPqxXPcX2qoYziQNo5tW3wOmN5VkZX337Vc=:gmNMu4szBUqz0d2ygNfEbkUMgYPGSUEjSaDcliuVAxk=
groups = booking

[network siam]
owner = network
data_centres = bangkok-1 bangkok-2 nonthaburi
END
}

write_settings() {
  cat <<END
[proxy]
name = proxy-$1
data_centre = $2
caller_address = $NET.2$1:5432
peer_address = $NET.2$1:7000

[store]
address = $PLATFORM

[peers]
seeds = $NET.21:7000 $NET.22:7000 $NET.23:7000
secret = demo-peer-secret

[log]
level = info
END
}

# Sizes of one of Siam's groups: three slots, 20 connections, 10 ms to open one.
SIZES="--connection-limit 20 --slots 3 --connection-cost-s 0.01
  --statement-cost-s 0.001 --link-delay-s 0.001"
start platform standin platform --listen "$PLATFORM"
# shellcheck disable=SC2086
{
  start up-1 standin upstream --listen "$NET.11:6432" --name up-1 $SIZES \
    --initial-role primary --peers "up-2=$NET.12:6432" "up-3=$NET.13:6432"
  PRIMARY_PID=$!
  start up-2 standin upstream --listen "$NET.12:6432" --name up-2 $SIZES \
    --initial-role replica --peers "up-1=$NET.11:6432" "up-3=$NET.13:6432"
  start up-3 standin upstream --listen "$NET.13:6432" --name up-3 $SIZES \
    --initial-role replica --peers "up-1=$NET.11:6432" "up-2=$NET.12:6432"
}
for name in platform up-1 up-2 up-3; do
  wait_for "$name" "$name.out" "listening on"
done

write_document >"$WORK/document.ini"
"$PYTHON" -m ebonyrack.scripts.load document \
  --store "$PLATFORM" --file "$WORK/document.ini"
number=0
for data_centre in bangkok-1 bangkok-2 nonthaburi; do
  number=$((number + 1))
  write_settings "$number" "$data_centre" >"$WORK/proxy-$number.ini"
  start "proxy-$number" daemon --config "$WORK/proxy-$number.ini"
done
for number in 1 2 3; do
  wait_for "proxy-$number" "proxy-$number.log" proxy_serving
done

echo "3 upstreams, 3 proxies and $CALLERS callers; the primary is killed after $KILL_AFTER_S s"
# shellcheck disable=SC2086
timeout "$FINISH_LIMIT_S" "$PYTHON" -m ebonyrack.scripts.load booking \
  --proxies $PROXIES --upstreams $UPSTREAMS --user booking \
  --password demo-password --callers "$CALLERS" --think-s 0.01 \
  --duration-s "$DURATION_S" --mark "$WORK/killed" &
LOAD_PID=$!
PIDS+=("$LOAD_PID")
sleep "$KILL_AFTER_S" &
SLEEP_PID=$!
PIDS+=("$SLEEP_PID")
wait "$SLEEP_PID"
date +%s.%N >"$WORK/killed"
kill -KILL "$PRIMARY_PID"
status=0
wait "$LOAD_PID" || status=$?
exit "$status"
