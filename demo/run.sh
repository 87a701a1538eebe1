#!/usr/bin/env bash
# Runs the whole path on loopback: platform, three upstreams, three proxies and a
# booking workload through one failover. Ends within 60 s; exit status 1 if a
# booking was lost, doubled, read stale or refused untruly.
set -eu
DURATION_S=${DURATION_S:-25}
KILL_AFTER_S=${KILL_AFTER_S:-8}
CALLERS=${CALLERS:-24}
FINISH_LIMIT_S=50

cd "$(dirname "$0")/.."
# shellcheck source=demo/cluster.sh
. demo/cluster.sh

# Sizes of one of Siam's groups: three slots, 20 connections, 10 ms to open one.
start_platform
start_upstreams --connection-limit 20 --slots 3 --connection-cost-s 0.01 \
  --statement-cost-s 0.001 --link-delay-s 0.001
start_proxies 3 "connection_limit = 20
slots = 3"

echo "3 upstreams, 3 proxies and $CALLERS callers; the primary is killed after $KILL_AFTER_S s"
# shellcheck disable=SC2086
timeout "$FINISH_LIMIT_S" "$PYTHON" -m ebonyrack.scripts.load booking \
  --proxies "${PROXIES[@]}" --upstreams $UPSTREAMS --user booking \
  --password demo-password --callers "$CALLERS" --think-s 0.01 \
  --duration-s "$DURATION_S" --mark "$WORK/killed" &
LOAD_PID=$!
PIDS+=("$LOAD_PID")
sleep "$KILL_AFTER_S" &
PIDS+=("$!")
wait "$!"
date +%s.%N >"$WORK/killed"
kill -KILL "$PRIMARY_PID"
{ wait "$PRIMARY_PID"; } 2>/dev/null || true
status=0
wait "$LOAD_PID" || status=$?
exit "$status"
