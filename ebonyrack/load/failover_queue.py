"""Experiment: queue, arrivals and goodput while the primary is replaced."""

from __future__ import annotations

import asyncio
import json
import time
from collections import Counter
from dataclasses import replace

from ebonyrack.core.clock import now_s
from ebonyrack.load.context import EXPERIMENTS
from ebonyrack.load.context import ExperimentContext
from ebonyrack.load.context import ExperimentResult
from ebonyrack.load.failover_gap import PRIMARY_FAULTS
from ebonyrack.load.failover_gap import run_writers
from ebonyrack.load.group_check import check_group
from ebonyrack.load.group_check import create_tables
from ebonyrack.load.open_arrivals import OpenArrivals
from ebonyrack.load.queue_samples import QueueSample
from ebonyrack.load.queue_samples import sample_queues
from ebonyrack.load.record import WorkloadRecord
from ebonyrack.load.record import find_quantile
from ebonyrack.load.results import Row
from ebonyrack.load.time_steps import BEFORE_S
from ebonyrack.load.time_steps import STEP_S
from ebonyrack.load.time_steps import count_in_steps
from ebonyrack.load.time_steps import find_back_s
from ebonyrack.load.time_steps import find_peak_rate
from ebonyrack.load.time_steps import find_recovered_s
from ebonyrack.load.time_steps import read_in_steps
from ebonyrack.load.workload_options import WorkloadOptions

# Statements that hold a slot this long make the slots the limit, and not the
# processors that the stand-ins share with the proxies.
STATEMENT_COST_S = 0.008
LOAD = 0.9
# Short enough for the backlog of one failover to fill it.
QUEUE_LIMIT = 10
PROBE_S = 4.0
SETTLE_S = 2.0
BEFORE_STEPS = round(BEFORE_S / STEP_S)
FINISH_LIMIT_S = 15.0
# Policy, fault, and callers that are connected before the load, as many as a gap needs.
# With a lease, 5 s pass until another primary is promoted.
CONDITIONS = (
    ("majority", "kill", 150),
    ("majority", "freeze", 150),
    ("primary_lease", "freeze", 600),
)
# How callers come back: at the time that the refusal names, or after 10 ms.
RETRIES: dict[str, float | None] = {"as told": None, "every 10 ms": 0.01}


@EXPERIMENTS.register("failover_queue")
async def measure_failover_queue(context: ExperimentContext) -> ExperimentResult:
    """Replace the primary once under each fault and each way to come back."""
    await create_tables(context.upstreams)
    await context.cluster.inject("options", statement_cost_s=STATEMENT_COST_S)
    capacity_per_s = await probe_capacity(context)
    rows: list[Row] = []
    for policy, fault, callers in CONDITIONS:
        if policy not in (context.policies or (policy,)):
            continue
        if fault not in (context.faults or (fault,)):
            continue
        await context.cluster.change_group(
            acknowledge_policy=policy, queue_limit=QUEUE_LIMIT
        )
        for retries, fixed_retry_s in RETRIES.items():
            options = replace(
                context.options,
                run_id=f"queue{time.time_ns():x}",
                fixed_retry_s=fixed_retry_s,
            )
            await context.cluster.wait_whole()
            arm = FailoverArm(context, options, fault, callers)
            row = await arm.run(LOAD * capacity_per_s)
            condition = {"policy": policy, "fault": fault, "retries": retries}
            rows.append({**condition, **row})
            print(json.dumps({**rows[-1], "series": None}), flush=True)
    return ExperimentResult(rows, rows)


async def probe_capacity(context: ExperimentContext) -> float:
    """Return how many keyed writes a second the group carries."""
    record = WorkloadRecord()
    options = replace(context.options, run_id=f"probe{time.time_ns():x}", think_s=0.001)
    async with run_writers(options, record):
        await asyncio.sleep(SETTLE_S)
        before = len(record.acknowledged)
        await asyncio.sleep(PROBE_S)
        return (len(record.acknowledged) - before) / PROBE_S


class FailoverArm:
    """One failover under load, and the figures of it.

    Attributes:
        context: The running cluster.
        options: How callers behave.
        fault: Name of the fault.
        record: What callers were told.
        arrivals: The crowd.
        samples: Samples of the proxies' queues.
        failed_s: Monotonic time of the fault.
        end_s: Monotonic time at which the last booking arrived.
    """

    __slots__ = (
        "context",
        "options",
        "fault",
        "record",
        "arrivals",
        "samples",
        "failed_s",
        "end_s",
    )

    def __init__(
        self,
        context: ExperimentContext,
        options: WorkloadOptions,
        fault: str,
        callers: int,
    ) -> None:
        self.context = context
        self.options = options
        self.fault = fault
        self.record = WorkloadRecord()
        self.arrivals = OpenArrivals(options, self.record, callers)
        self.samples: list[QueueSample] = []
        self.failed_s = 0.0
        self.end_s = 0.0

    async def run(self, rate_per_s: float) -> Row:
        """Run the load with the fault in the middle of it.

        Args:
            rate_per_s: Bookings that arrive in a second.

        Returns:
            The figures, and the series they come from.
        """
        context = self.context
        primary = await context.cluster.find_primary()
        async with self.arrivals, sample_queues(context, self.samples):
            started_s, processor_s = now_s(), time.process_time()
            self.end_s = started_s + SETTLE_S + BEFORE_S + context.duration_s
            load = asyncio.create_task(
                self.arrivals.run(rate_per_s, self.end_s, self.end_s + FINISH_LIMIT_S)
            )
            await asyncio.sleep(SETTLE_S + BEFORE_S)
            self.failed_s = now_s()
            async with PRIMARY_FAULTS.get(self.fault)(context.cluster, primary):
                await load
                used_s = time.process_time() - processor_s
                load_share = used_s / (now_s() - started_s)
                await self.arrivals.finish()
        series = self.build_series()
        row = {"rate_per_s": round(rate_per_s, 1), **self.summarize(series)}
        row["load_tool_cpu"] = round(load_share, 2)
        findings = await check_group(
            context.upstreams, self.record, self.options.run_id
        )
        row["lost"] = findings.lost
        row["doubled"] = findings.doubled
        row["untrue"] = self.record.untrue_refusals + findings.untrue_refusals
        row["unfinished"] = len(self.record.unfinished)
        row["series"] = series
        return row

    def build_series(self) -> dict[str, list[float]]:
        """Return what happened in each step of time, and the queue at its highest."""
        span = (self.failed_s - BEFORE_S, self.end_s)
        record = self.record
        refused_s = [at_s for at_s, _ in record.refused_s]
        queue: list[tuple[float, float]] = []
        executing: list[tuple[float, float]] = []
        for item in self.samples:
            queue.append((item.at_s, item.waiting + item.waiting_for_primary))
            executing.append((item.at_s, item.executing))
        return {
            "arrivals": count_in_steps(self.arrivals.arrived_s, *span),
            "attempts": count_in_steps(record.attempted_s, *span),
            "acknowledged": count_in_steps(record.acknowledged_s, *span),
            "refused": count_in_steps(refused_s, *span),
            "queue": read_in_steps(queue, *span),
            "executing": read_in_steps(executing, *span),
        }

    def summarize(self, series: dict[str, list[float]]) -> Row:
        """Compare the time before the fault with the time after it."""
        record, failed_s = self.record, self.failed_s
        before = {name: values[:BEFORE_STEPS] for name, values in series.items()}
        after = {name: values[BEFORE_STEPS:] for name, values in series.items()}
        kinds = Counter(kind for at_s, kind in record.refused_s if at_s >= failed_s)
        acknowledged = [before["acknowledged"], after["acknowledged"]]
        return {
            "gap_s": round(record.find_gap_s(failed_s), 3),
            "attempts_per_ack": round(
                len(record.attempted_s) / max(1, len(record.acknowledged)), 2
            ),
            "peak_attempts_before": find_peak_rate(before["attempts"]),
            "peak_attempts_after": find_peak_rate(after["attempts"]),
            "queue_before": max(before["queue"]),
            "queue_peak": max(after["queue"]),
            "queue_back_s": find_back_s(before["queue"], after["queue"]),
            "goodput_before": round(sum(before["acknowledged"]) / BEFORE_S, 1),
            "goodput_back_s": find_recovered_s(*acknowledged),
            "write_p99_ms": to_p99_ms(record),
            "refused_after": " ".join(f"{kind}:{n}" for kind, n in kinds.most_common()),
        }


def to_p99_ms(record: WorkloadRecord) -> float:
    """Return the 99th percentile of the time from arrival to acknowledgement."""
    return round(1000 * (find_quantile(record.write_latencies_s, 0.99) or 0.0), 1)
