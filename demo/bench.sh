#!/usr/bin/env bash
# Compares one proxy with a direct connection to the same stand-in group.
set -eu
RESULTS=${RESULTS:-results}

cd "$(dirname "$0")/.."
# shellcheck source=demo/cluster.sh
. demo/cluster.sh

start_platform
start_group --connection-limit 200 --slots 64
start_proxies 1 "connection_limit = 200
slots = 64
queue_limit = 5000" info true
"$PYTHON" -m ebonyrack.scripts.load bench --proxy "${PROXIES[0]}" \
  --upstream "$NET.11:6432" --proxy-pid "${PROXY_PIDS[0]}" --results "$RESULTS" &
PIDS+=("$!")
# Unlike a foreground command, wait is interrupted by a signal, so cleanup runs at once.
wait "$!"
