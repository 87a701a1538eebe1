"""Experiment: how long no write is acknowledged after the primary is lost."""

from __future__ import annotations

import asyncio
import json
import time
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

from ebonyrack.core.clock import now_s
from ebonyrack.core.registry import Registry
from ebonyrack.load.caller import BookingCaller
from ebonyrack.load.cluster import Cluster
from ebonyrack.load.cluster import ClusterError
from ebonyrack.load.context import EXPERIMENTS
from ebonyrack.load.context import ExperimentContext
from ebonyrack.load.context import ExperimentResult
from ebonyrack.load.decision_log import read_events
from ebonyrack.load.decision_log import read_wall_s
from ebonyrack.load.group_check import check_group
from ebonyrack.load.group_check import create_tables
from ebonyrack.load.record import WorkloadRecord
from ebonyrack.load.record import find_quantile
from ebonyrack.load.results import Row
from ebonyrack.load.workload_options import WorkloadOptions

WRITER_COUNT = 12
THINK_S = 0.02
WARM_UP_S = 0.5
RESUME_LIMIT_S = 15.0
AFTER_FAULT_S = 0.7
FINISH_LIMIT_S = 20.0
RESERVE_LIMIT_S = 3600.0
STORE_STATES = (True, False)
POLICIES = ("majority", "primary_alone", "primary_lease")
GAP_PHASES = (
    "detection_s",
    "pre_vote_s",
    "rank_delay_s",
    "fence_s",
    "promotion_s",
    "opening_s",
)

PrimaryFault = Any
PRIMARY_FAULTS: Registry[PrimaryFault] = Registry("primary fault")


@PRIMARY_FAULTS.register("kill")
@asynccontextmanager
async def kill_primary(cluster: Cluster, name: str) -> Any:
    """Kill the primary and restart it as a replica afterwards."""
    await cluster.inject("kill", name=name)
    yield
    await cluster.inject("restart", name=name)


@PRIMARY_FAULTS.register("freeze")
@asynccontextmanager
async def freeze_primary(cluster: Cluster, name: str) -> Any:
    """Freeze the primary, which keeps its sockets open but does not reply."""
    await cluster.inject("freeze", name=name)
    yield
    await cluster.inject("thaw", name=name)


@PRIMARY_FAULTS.register("cut")
@asynccontextmanager
async def cut_primary(cluster: Cluster, name: str) -> Any:
    """Cut the primary off from the proxies and from its replicas."""
    others = [other for other in await cluster.read_status() if other != name]
    for target in ("proxies", *others):
        await cluster.inject("cut", source=name, target=target)
    yield
    await cluster.inject("heal")


@PRIMARY_FAULTS.register("cut_replicas")
@asynccontextmanager
async def cut_from_replicas(cluster: Cluster, name: str) -> Any:
    """Cut the primary off from its replicas only; proxies still reach it."""
    for other in await cluster.read_status():
        if other != name:
            await cluster.inject("cut", source=name, target=other)
    yield
    await cluster.inject("heal")


@EXPERIMENTS.register("failover_gap")
async def measure_failover_gap(context: ExperimentContext) -> ExperimentResult:
    """Inject each primary fault repeatedly, with the store up and down."""
    await create_tables(context.upstreams)
    trials: list[Row] = []
    summary: list[Row] = []
    for policy in context.policies or POLICIES:
        await context.cluster.change_group(acknowledge_policy=policy)
        for store_is_up in STORE_STATES:
            await context.cluster.set_platform_faults(is_down=not store_is_up)
            try:
                for fault in context.faults or PRIMARY_FAULTS.entries:
                    rows = await run_condition(context, policy, store_is_up, fault)
                    trials += rows
                    summary.append(summarize(rows))
                    print(json.dumps(summary[-1]), flush=True)
            finally:
                await context.cluster.set_platform_faults(is_down=False)
    return ExperimentResult(trials, summary)


async def run_condition(
    context: ExperimentContext, policy: str, store_is_up: bool, fault: str
) -> list[Row]:
    """Run all trials of one condition with the same writers."""
    run_id = f"gap{time.time_ns():x}"
    options = replace(context.options, run_id=run_id, write_share=1.0, think_s=THINK_S)
    condition = {"policy": policy, "store_up": store_is_up, "fault": fault}
    record = WorkloadRecord()
    rows: list[Row] = []
    async with run_writers(options, record):
        for trial in range(context.trials):
            row = await run_trial(context, record, fault)
            rows.append({**condition, "trial": trial, **row})
    findings = await check_group(context.upstreams, record, run_id)
    for row in rows:
        row["lost"] = findings.lost
        row["doubled"] = findings.doubled
        row["unfinished"] = len(record.unfinished)
        row["untrue_refusals"] = record.untrue_refusals + findings.untrue_refusals
    return rows


@asynccontextmanager
async def run_writers(options: WorkloadOptions, record: WorkloadRecord) -> Any:
    """Run callers that write until the block ends, then finish their last requests."""
    callers = [BookingCaller(number, options, record) for number in range(WRITER_COUNT)]
    stopped = [False]
    deadline_s = now_s() + RESERVE_LIMIT_S

    async def run(caller: BookingCaller) -> None:
        while not stopped[0]:
            await caller.reserve(deadline_s)
            await asyncio.sleep(caller.random.expovariate(1 / options.think_s))

    tasks = [asyncio.create_task(run(caller)) for caller in callers]
    try:
        yield
    finally:
        stopped[0] = True
        _, pending = await asyncio.wait(tasks, timeout=FINISH_LIMIT_S)
        for task in pending:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        record.unfinished.update(f"late-{number}" for number in range(len(pending)))
        for caller in callers:
            await caller.connections.close()


async def run_trial(
    context: ExperimentContext, record: WorkloadRecord, fault: str
) -> Row:
    """Inject a fault into the primary of a healthy group and measure the gap."""
    cluster = context.cluster
    await cluster.wait_until_healthy()
    await asyncio.sleep(WARM_UP_S)
    primary = await cluster.find_primary()
    fault_at_s, fault_wall_s = now_s(), time.time()
    async with PRIMARY_FAULTS.get(fault)(cluster, primary):
        is_resumed = await wait_until_resumed(cluster, record, primary, fault_at_s)
        await asyncio.sleep(AFTER_FAULT_S)
    gap_s = record.find_longest_gap_s(fault_at_s, window_s=RESUME_LIMIT_S)
    if not is_resumed:
        # The gap has not ended: its length so far is a lower bound.
        gap_s = now_s() - record.acknowledged_at_s[-1]
    row: Row = {"gap_s": round(gap_s, 4), "resumed": is_resumed}
    row.update(find_gap_phases(context.proxy_logs, fault_wall_s))
    return row


async def wait_until_resumed(
    cluster: Cluster, record: WorkloadRecord, failed_primary: str, fault_at_s: float
) -> bool:
    """Wait until another upstream is primary and writes are acknowledged again.

    Returns:
        Whether this happened within `RESUME_LIMIT_S` of the fault.
    """
    deadline_s = fault_at_s + RESUME_LIMIT_S
    while now_s() < deadline_s:
        await asyncio.sleep(0.05)
        try:
            primary = await cluster.find_primary()
        except ClusterError:
            continue
        acknowledged_at_s = (
            record.acknowledged_at_s[-1] if record.acknowledged_at_s else 0.0
        )
        if primary != failed_primary and acknowledged_at_s > now_s() - 0.1:
            return True
    return False


def find_gap_phases(logs: tuple[Path, ...], after_wall_s: float) -> Row:
    """Read the phases of the gap from the log of the proxy that won the ballot."""
    won = [
        line
        for line in read_events(logs, ("ballot",))
        if line.get("won") and read_wall_s(line) > after_wall_s
    ]
    first = min(won, key=lambda line: str(line["time"]), default=None)
    if first is None:
        return {"reason": None, **dict.fromkeys(GAP_PHASES)}
    phases = {name: first.get(name) for name in GAP_PHASES}
    return {"reason": first.get("reason"), **phases}


def summarize(rows: list[Row]) -> Row:
    """Summarize the trials of one condition."""
    gaps = [row["gap_s"] for row in rows if row["resumed"]]
    first = rows[0]
    summary: Row = {
        "policy": first["policy"],
        "store_up": first["store_up"],
        "fault": first["fault"],
        "trials": len(rows),
        "resumed": len(gaps),
        "median_s": find_quantile(gaps, 0.5),
        "p99_s": find_quantile(gaps, 0.99),
    }
    for name in GAP_PHASES:
        values = [row[name] for row in rows if row.get(name) is not None]
        summary[name.removesuffix("_s") + "_median_s"] = find_quantile(values, 0.5)
    for name in ("lost", "doubled", "unfinished", "untrue_refusals"):
        summary[name] = first[name]
    return summary
