#!/usr/bin/env bash
# usage: demo/experiment.sh NAME [OPTIONS]; `load experiment --help` lists the names.
# Starts the platform, a group with fault injection and three proxies in front of it.
set -eu
PROXY_COUNT=${PROXY_COUNT:-3}
RESULTS=${RESULTS:-results}

cd "$(dirname "$0")/.."
# shellcheck source=demo/cluster.sh
. demo/cluster.sh

start_platform
start_group --connection-limit 20 --slots 3 --connection-cost-s 0.01 \
  --link-delay-s 0.001
start_proxies "$PROXY_COUNT" "connection_limit = 20
slots = 3"
# shellcheck disable=SC2086
"$PYTHON" -m ebonyrack.scripts.load experiment "$@" \
  --proxies "${PROXIES[@]}" --upstreams $UPSTREAMS --store "$PLATFORM" \
  --control "$CONTROL" --proxy-logs "${PROXY_LOGS[@]}" \
  --peers "${PEERS[@]}" --peer-secret demo-peer-secret \
  --document "$WORK/document.ini" --password demo-password --results "$RESULTS" &
PIDS+=("$!")
# Unlike a foreground command, wait is interrupted by a signal, so cleanup runs at once.
wait "$!"
