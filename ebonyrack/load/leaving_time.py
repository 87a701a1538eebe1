"""Experiment: how long an upstream that is leaving still gets new work."""

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

CALLERS = 24
THINK_S = 0.02
WARM_UP_S = 1.5
LEAVING_S = 6.0
ROLES = ("replica", "primary")
# Lines of a proxy's log that tell of work for an upstream.
WORK_EVENTS = ("read_placed", "write_acknowledged")

LEAVING_SOURCES: Registry[Any] = Registry("source of a leaving upstream")


@LEAVING_SOURCES.register("document")
@asynccontextmanager
async def leave_by_document(cluster: Cluster, name: str) -> AsyncIterator[None]:
    """Name the upstream as leaving in the operators' document."""
    await cluster.change_group(leaving=name)
    yield
    await cluster.change_group()


@LEAVING_SOURCES.register("vm_list")
@asynccontextmanager
async def leave_by_vm_list(cluster: Cluster, name: str) -> AsyncIterator[None]:
    """Show the upstream's VM as leaving in the platform's list."""
    await cluster.set_vms(name)
    yield
    await cluster.set_vms()


@LEAVING_SOURCES.register("upstream")
@asynccontextmanager
async def leave_by_itself(cluster: Cluster, name: str) -> AsyncIterator[None]:
    """Let the upstream say in its own answers that it leaves."""
    await cluster.inject("leave", name=name, leaving=True)
    yield
    await cluster.inject("leave", name=name, leaving=False)


@EXPERIMENTS.register("leaving_time")
async def measure_leaving_time(context: ExperimentContext) -> ExperimentResult:
    """Let a replica and a primary leave under load, told in every way."""
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
    """Let one upstream leave under load and find its last work."""
    cluster = context.cluster
    await cluster.wait_whole()
    name = await choose_upstream(cluster, role)
    options = replace(
        context.options, run_id=f"leaving{time.time_ns():x}", think_s=THINK_S
    )
    workload = asyncio.create_task(
        run_booking(context.upstreams, options, CALLERS, WARM_UP_S + LEAVING_S)
    )
    await asyncio.sleep(WARM_UP_S)
    told_wall_s = time.time()
    async with LEAVING_SOURCES.get(source)(cluster, name):
        figures = (await workload).summarize()
    works = [
        at_s
        for at_s in find_work(context.proxy_logs, name)
        if at_s > told_wall_s - WARM_UP_S
    ]
    after = [at_s - told_wall_s for at_s in works if at_s > told_wall_s]
    return {
        "last_work_s": round(max(after, default=0.0), 3),
        "works_before": len(works) - len(after),
        "works_after": len(after),
        "is_primary_at_end": await cluster.find_primary() == name,
        **{key: figures[key] for key in ("acknowledged", "lost", "doubled")},
    }


async def choose_upstream(cluster: Cluster, role: str) -> str:
    """Return the primary's name, or a replica's."""
    primary = await cluster.find_primary()
    if role == "primary":
        return primary
    return min(name for name in await cluster.read_status() if name != primary)


def find_work(logs: tuple[Path, ...], name: str) -> Iterator[float]:
    """Yield when proxies gave an upstream work, by their decision logs.

    Args:
        logs: Log files of the proxies.
        name: Name of the upstream.

    Yields:
        Wall-clock time of each line, in seconds.
    """
    for line in read_events(logs, WORK_EVENTS):
        if line["upstream"] == name:
            yield read_wall_s(line)


def summarize(rows: list[Row]) -> Row:
    """Summarize the trials of one condition."""
    lasts = [row["last_work_s"] for row in rows]
    first = rows[0]
    return {
        "source": first["source"],
        "role": first["role"],
        "trials": len(rows),
        "median_s": find_quantile(lasts, 0.5),
        "largest_s": max(lasts),
        "primary_at_end": sum(row["is_primary_at_end"] for row in rows),
        "works_before": sum(row["works_before"] for row in rows),
        "acknowledged": sum(row["acknowledged"] for row in rows),
        "lost": sum(row["lost"] for row in rows),
        "doubled": sum(row["doubled"] for row in rows),
    }
