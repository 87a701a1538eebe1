#!/usr/bin/env bash
# usage: demo/groups.sh GROUPS PROXIES: processor time and memory of idle proxies
# against the number of database groups, each of three upstreams in one process.
set -eu
GROUPS_WANTED=$1
PROXIES_WANTED=$2
DURATION_S=${DURATION_S:-15}
WARM_UP_S=${WARM_UP_S:-8}
RESULTS=${RESULTS:-results}

cd "$(dirname "$0")/.."
# shellcheck source=demo/cluster.sh
. demo/cluster.sh

start_platform
for number in $(seq "$GROUPS_WANTED"); do
  # All 127.x.y.z addresses are loopback; each group uses its own /30.
  base=$((100 + number))
  start "group-$number" standin group --connection-limit 200 --listen \
    "127.19.$base.1:6432" "127.19.$base.2:6432" "127.19.$base.3:6432"
done
for number in $(seq "$GROUPS_WANTED"); do
  wait_for "group-$number" "group-$number.out" "listening on"
  cat >>"$WORK/groups.ini" <<END
[group group-$number]
owner = database
upstreams = up-$number-1=127.19.$((100 + number)).1:6432@bangkok-1
    up-$number-2=127.19.$((100 + number)).2:6432@bangkok-2
    up-$number-3=127.19.$((100 + number)).3:6432@nonthaburi
connection_limit = 200
END
done
"$PYTHON" -m ebonyrack.scripts.load document --store "$PLATFORM" --file "$WORK/groups.ini"
pids=()
for number in $(seq "$PROXIES_WANTED"); do
  write_settings "$number" bangkok-1 warning false >"$WORK/proxy-$number.ini"
  start "proxy-$number" daemon --config "$WORK/proxy-$number.ini"
  pids+=($!)
done
sleep "$WARM_UP_S"
"$PYTHON" -m ebonyrack.scripts.load idle-cost --pids "${pids[@]}" \
  --groups "$GROUPS_WANTED" --duration-s "$DURATION_S" \
  --results "$RESULTS"
