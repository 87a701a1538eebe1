#!/usr/bin/env bash
# Restarts every proxy in turn, gracefully, under a booking workload. Exit status 1
# if a shutdown cut a request, or a booking was lost, doubled or read stale.
set -eu
DURATION_S=${DURATION_S:-30}
CALLERS=${CALLERS:-24}
PAUSE_S=${PAUSE_S:-2}

cd "$(dirname "$0")/.."
# shellcheck source=demo/cluster.sh
. demo/cluster.sh

start_platform
start_siam_upstreams
start_siam_proxies
start_booking
sleep "$PAUSE_S"

cut_proxies=0
for number in 1 2 3; do
  pid=${PROXY_PIDS[$((number - 1))]}
  kill -TERM "$pid"
  wait "$pid" || cut_proxies=$((cut_proxies + 1))
  mv "$WORK/proxy-$number.log" "$WORK/proxy-$number.old.log"
  start "proxy-$number" daemon --config "$WORK/proxy-$number.ini"
  wait_for "proxy-$number" "proxy-$number.log" proxy_serving
  sleep "$PAUSE_S"
done
status=0
wait "$LOAD_PID" || status=$?
grep -h proxy_drained "$WORK"/proxy-*.old.log || true
echo "proxies that cut a request: $cut_proxies"
if [ "$cut_proxies" -ne 0 ]; then status=1; fi
exit "$status"
