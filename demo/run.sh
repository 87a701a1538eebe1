#!/usr/bin/env bash
# Runs a whole system on loopback: platform, three upstreams, three proxies and a
# booking workload through one failover. Ends within 60 s; exit status 1 if a
# booking was lost, doubled, read stale or refused although it had run.
set -eu
DURATION_S=${DURATION_S:-25}
KILL_AFTER_S=${KILL_AFTER_S:-8}
CALLERS=${CALLERS:-24}
FINISH_LIMIT_S=50

cd "$(dirname "$0")/.."
# shellcheck source=demo/cluster.sh
. demo/cluster.sh

start_platform
start_siam_upstreams
start_siam_proxies

echo "3 upstreams, 3 proxies and $CALLERS callers; the primary is killed after $KILL_AFTER_S s"
start_booking --mark "$WORK/killed"
sleep "$KILL_AFTER_S" &
PIDS+=("$!")
wait "$!"
date +%s.%N >"$WORK/killed"
kill -KILL "$PRIMARY_PID"
{ wait "$PRIMARY_PID"; } 2>/dev/null || true
status=0
wait "$LOAD_PID" || status=$?
exit "$status"
