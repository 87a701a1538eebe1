"""Experiment: how long a leaving upstream still receives new requests."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import AsyncIterator
from collections.abc import Iterator
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

from ebonyrack.core.registry import Registry
from ebonyrack.load.booking import run_booking
from ebonyrack.load.cluster import Cluster
from ebonyrack.load.context import EXPERIMENTS
from ebonyrack.load.context import ExperimentContext
from ebonyrack.load.context import ExperimentResult
from ebonyrack.load.decision_log import read_events
from ebonyrack.load.decision_log import read_wall_s
from ebonyrack.load.record import find_quantile
from ebonyrack.load.results import Row

CALLER_COUNT = 24
THINK_S = 0.02
WARM_UP_S = 1.5
LEAVING_S = 6.0
ROLES = ("replica", "primary")
# Log events of a proxy that report a request placed on an upstream.
WORK_EVENTS = ("read_placed", "write_acknowledged")

LEAVING_SOURCES: Registry[Any] = Registry("source of a leaving upstream")


@LEAVING_SOURCES.register("document")
@asynccontextmanager
async def announce_by_document(cluster: Cluster, name: str) -> AsyncIterator[None]:
    """Mark the upstream as leaving in the operators' document."""
    await cluster.change_group(leaving=name)
    yield
    await cluster.change_group()


@LEAVING_SOURCES.register("vm_list")
@asynccontextmanager
async def announce_by_vm_list(cluster: Cluster, name: str) -> AsyncIterator[None]:
    """Mark the upstream's VM as leaving in the platform's VM list."""
    await cluster.set_leaving_vms(name)
    yield
    await cluster.set_leaving_vms()


@LEAVING_SOURCES.register("upstream")
@asynccontextmanager
async def announce_by_upstream(cluster: Cluster, name: str) -> AsyncIterator[None]:
    """Make the upstream report in its status that it is leaving."""
    await cluster.inject("leave", name=name, leaving=True)
    yield
    await cluster.inject("leave", name=name, leaving=False)


@EXPERIMENTS.register("leaving_time")
async def measure_leaving_time(context: ExperimentContext) -> ExperimentResult:
    """Mark a replica and a primary as leaving under load, by each source."""
    trials: list[Row] = []
    summary: list[Row] = []
    for source in context.faults or LEAVING_SOURCES.entries:
        for role in ROLES:
            rows = [
                {
                    "source": source,
                    "role": role,
                    "trial": trial,
                    **await run_trial(context, source, role),
                }
                for trial in range(context.trials)
            ]
            trials += rows
            summary.append(summarize(rows))
            print(json.dumps(summary[-1]), flush=True)
    return ExperimentResult(trials, summary)


async def run_trial(context: ExperimentContext, source: str, role: str) -> Row:
    """Mark one upstream as leaving under load and find its last request."""
    cluster = context.cluster
    await cluster.wait_until_healthy()
    name = await choose_upstream(cluster, role)
    options = replace(
        context.options, run_id=f"leaving{time.time_ns():x}", think_s=THINK_S
    )
    workload = asyncio.create_task(
        run_booking(context.upstreams, options, CALLER_COUNT, WARM_UP_S + LEAVING_S)
    )
    await asyncio.sleep(WARM_UP_S)
    announced_wall_s = time.time()
    async with LEAVING_SOURCES.get(source)(cluster, name):
        figures = (await workload).summarize()
    work_times_s = [
        at_s
        for at_s in find_work_times(context.proxy_logs, name)
        if at_s > announced_wall_s - WARM_UP_S
    ]
    after = [
        at_s - announced_wall_s for at_s in work_times_s if at_s > announced_wall_s
    ]
    return {
        "last_work_s": round(max(after, default=0.0), 3),
        "works_before": len(work_times_s) - len(after),
        "works_after": len(after),
        "is_primary_at_end": await cluster.find_primary() == name,
        **{key: figures[key] for key in ("acknowledged", "lost", "doubled")},
    }


async def choose_upstream(cluster: Cluster, role: str) -> str:
    """Return the name of an upstream that has a role."""
    primary = await cluster.find_primary()
    if role == "primary":
        return primary
    return min(name for name in await cluster.read_status() if name != primary)


def find_work_times(logs: tuple[Path, ...], name: str) -> Iterator[float]:
    """Yield the times at which proxies placed requests on an upstream.

    Args:
        logs: Log files of the proxies.
        name: Name of the upstream.

    Yields:
        Wall-clock time of each log line, in seconds since the epoch.
    """
    for line in read_events(logs, WORK_EVENTS):
        if line["upstream"] == name:
            yield read_wall_s(line)


def summarize(rows: list[Row]) -> Row:
    """Summarize the trials of one condition."""
    last_work_times_s = [row["last_work_s"] for row in rows]
    first = rows[0]
    return {
        "source": first["source"],
        "role": first["role"],
        "trials": len(rows),
        "median_s": find_quantile(last_work_times_s, 0.5),
        "largest_s": max(last_work_times_s),
        "primary_at_end": sum(row["is_primary_at_end"] for row in rows),
        "works_before": sum(row["works_before"] for row in rows),
        "acknowledged": sum(row["acknowledged"] for row in rows),
        "lost": sum(row["lost"] for row in rows),
        "doubled": sum(row["doubled"] for row in rows),
    }
