#!/usr/bin/env bash
# Injects random faults into proxies, upstreams and the platform (kill and restart, freeze,
# also two at once) under a booking workload; SEED makes the order repeatable. Exit status 1
# if a booking was lost, doubled, read stale or refused although it had run.
set -eu
SEED=${SEED:-1}
DURATION_S=${DURATION_S:-40}
CALLERS=${CALLERS:-24}
STRIKES=${STRIKES:-12}
PAUSE_S=${PAUSE_S:-2}

cd "$(dirname "$0")/.."
# shellcheck source=demo/cluster.sh
. demo/cluster.sh
RANDOM=$SEED

start_platform
PLATFORM_PID=${PIDS[0]}
start_siam_upstreams
first=$((${#PIDS[@]} - 3))
UPSTREAM_PIDS=("${PIDS[@]:first:3}")
start_siam_proxies
start_booking

# kill_proxy NUMBER: kills a proxy and starts another under the same name.
kill_proxy() {
  local pid=${PROXY_PIDS[$(($1 - 1))]}
  kill -KILL "$pid"
  wait "$pid" 2>/dev/null || true
  mv "$WORK/proxy-$1.log" "$WORK/proxy-$1.$(date +%s%N).log"
  start "proxy-$1" daemon --config "$WORK/proxy-$1.ini"
  PROXY_PIDS[$(($1 - 1))]=$!
  wait_for "proxy-$1" "proxy-$1.log" proxy_serving
}

# freeze PID: stops a process for 1.5 s and resumes it.
freeze() {
  kill -STOP "$1"
  sleep 1.5
  kill -CONT "$1"
}

inject_fault() {
  local number=$((RANDOM % 3 + 1)) kind=$((RANDOM % 6))
  case $kind in
    0) echo "fault: kill proxy-$number" && kill_proxy "$number" ;;
    1) echo "fault: freeze proxy-$number" && freeze "${PROXY_PIDS[$((number - 1))]}" ;;
    2)
      echo "fault: freeze the platform and up-$number"
      kill -STOP "$PLATFORM_PID"
      freeze "${UPSTREAM_PIDS[$((number - 1))]}"
      kill -CONT "$PLATFORM_PID"
      ;;
    3)
      echo "fault: freeze proxy-$number and up-$number"
      kill -STOP "${PROXY_PIDS[$((number - 1))]}"
      freeze "${UPSTREAM_PIDS[$((number - 1))]}"
      kill -CONT "${PROXY_PIDS[$((number - 1))]}"
      ;;
    *) echo "fault: freeze up-$number" && freeze "${UPSTREAM_PIDS[$((number - 1))]}" ;;
  esac
}

sleep "$PAUSE_S"
for _ in $(seq "$STRIKES"); do
  kill -0 "$LOAD_PID" 2>/dev/null || break
  inject_fault
  sleep "$PAUSE_S"
done
status=0
wait "$LOAD_PID" || status=$?
exit "$status"
