#!/usr/bin/env bash
# usage: demo/control_plane.sh NODES [GROUPS [EDITS]]
# Starts the platform and NODES proxies without callers, several to a process, and
# measures the propagation of edits, the cost of a node, and the update of connection
# shares after a proxy was killed.
set -eu
NODES=$1
GROUP_COUNT=${2:-3}
EDITS=${3:-100}
PER_PROCESS=${PER_PROCESS:-$(((NODES + 9) / 10))}
RESULTS=${RESULTS:-results}

cd "$(dirname "$0")/.."
# shellcheck source=demo/cluster.sh
. demo/cluster.sh

start_platform
LOGS=()
# The last proxy has its own process, which is killed at the end.
for ((first = 0; first < NODES - 1; first += PER_PROCESS)); do
  count=$((NODES - 1 - first < PER_PROCESS ? NODES - 1 - first : PER_PROCESS))
  start "host-$first" load control-host --store "$PLATFORM" --network "$NET.3" \
    --first "$first" --count "$count"
  LOGS+=("$WORK/host-$first.out")
done
start victim load control-host --store "$PLATFORM" --network "$NET.3" \
  --first "$((NODES - 1))"
for log in "${LOGS[@]}" "$WORK/victim.out"; do
  wait_for "$(basename "$log" .out)" "$(basename "$log")" '"started"'
done
"$PYTHON" -m ebonyrack.scripts.load control-plane --store "$PLATFORM" \
  --network "$NET.3" --nodes "$NODES" --groups "$GROUP_COUNT" --edits "$EDITS" \
  --logs "${LOGS[@]}" --victim "$WORK/victim.out" --results "$RESULTS"
