"""Experiment: queue, arrivals and goodput during a failover."""

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
from ebonyrack.load.open_loop_load import OpenLoopLoad
from ebonyrack.load.queue_samples import QueueSample
from ebonyrack.load.queue_samples import sample_queues
from ebonyrack.load.record import WorkloadRecord
from ebonyrack.load.record import find_quantile
from ebonyrack.load.results import Row
from ebonyrack.load.time_steps import BEFORE_S
from ebonyrack.load.time_steps import STEP_S
from ebonyrack.load.time_steps import count_in_steps
from ebonyrack.load.time_steps import find_drop_recovery_s
from ebonyrack.load.time_steps import find_peak_rate
from ebonyrack.load.time_steps import find_rise_recovery_s
from ebonyrack.load.time_steps import find_step_maxima
from ebonyrack.load.workload_options import WorkloadOptions

# A statement holds its slot this long, so that the slots are the bottleneck and not the
# processors that the stand-ins share with the proxies.
STATEMENT_COST_S = 0.008
CAPACITY_SHARE = 0.9
# Small enough for the backlog of one failover to fill the queue.
QUEUE_LIMIT = 10
CAPACITY_WINDOW_S = 4.0
WARM_UP_S = 2.0
BEFORE_STEPS = round(BEFORE_S / STEP_S)
FINISH_LIMIT_S = 15.0
# Policy, fault, and number of callers that connect before the load: enough for the
# bookings that arrive during the gap. With a lease, 5 s pass until the promotion.
CONDITIONS = (
    ("majority", "kill", 150),
    ("majority", "freeze", 150),
    ("primary_lease", "freeze", 600),
)
# Fixed retry pause by name; None follows the retry-after time of the refusal.
RETRY_PAUSES_S: dict[str, float | None] = {"as told": None, "every 10 ms": 0.01}


@EXPERIMENTS.register("failover_queue")
async def measure_failover_queue(context: ExperimentContext) -> ExperimentResult:
    """Run one failover for each condition and each way of retrying."""
    await create_tables(context.upstreams)
    await context.cluster.inject("options", statement_cost_s=STATEMENT_COST_S)
    capacity_per_s = await measure_capacity(context)
    rows: list[Row] = []
    for policy, fault, caller_count in CONDITIONS:
        if policy not in (context.policies or (policy,)):
            continue
        if fault not in (context.faults or (fault,)):
            continue
        await context.cluster.change_group(
            acknowledge_policy=policy, queue_limit=QUEUE_LIMIT
        )
        for retries, fixed_retry_s in RETRY_PAUSES_S.items():
            options = replace(
                context.options,
                run_id=f"queue{time.time_ns():x}",
                fixed_retry_s=fixed_retry_s,
            )
            await context.cluster.wait_until_healthy()
            failover = FailoverRun(context, options, fault, caller_count)
            row = await failover.run(CAPACITY_SHARE * capacity_per_s)
            condition = {"policy": policy, "fault": fault, "retries": retries}
            rows.append({**condition, **row})
            print(json.dumps({**rows[-1], "series": None}), flush=True)
    return ExperimentResult(rows, rows)


async def measure_capacity(context: ExperimentContext) -> float:
    """Measure how many writes with a key the group can serve per second."""
    record = WorkloadRecord()
    options = replace(context.options, run_id=f"probe{time.time_ns():x}", think_s=0.001)
    async with run_writers(options, record):
        await asyncio.sleep(WARM_UP_S)
        before = len(record.acknowledged)
        await asyncio.sleep(CAPACITY_WINDOW_S)
        return (len(record.acknowledged) - before) / CAPACITY_WINDOW_S


class FailoverRun:
    """One failover under load and its figures.

    Attributes:
        context: The running cluster.
        options: Behaviour of the callers.
        fault: Name of the fault.
        record: Replies that the callers received.
        load: Generator of the load.
        samples: Samples of the proxies' queues.
        fault_at_s: Monotonic time of the fault.
        last_arrival_s: Monotonic time after which no booking arrives.
    """

    __slots__ = (
        "context",
        "options",
        "fault",
        "record",
        "load",
        "samples",
        "fault_at_s",
        "last_arrival_s",
    )

    def __init__(
        self,
        context: ExperimentContext,
        options: WorkloadOptions,
        fault: str,
        caller_count: int,
    ) -> None:
        self.context = context
        self.options = options
        self.fault = fault
        self.record = WorkloadRecord()
        self.load = OpenLoopLoad(options, self.record, caller_count)
        self.samples: list[QueueSample] = []
        self.fault_at_s = 0.0
        self.last_arrival_s = 0.0

    async def run(self, rate_per_s: float) -> Row:
        """Run the load and inject the fault during it.

        Args:
            rate_per_s: Mean number of bookings that arrive per second.

        Returns:
            The figures, and the series from which they are computed.
        """
        context = self.context
        primary = await context.cluster.find_primary()
        async with self.load, sample_queues(context, self.samples):
            started_s, processor_s = now_s(), time.process_time()
            self.last_arrival_s = started_s + WARM_UP_S + BEFORE_S + context.duration_s
            load_task = asyncio.create_task(
                self.load.run(
                    rate_per_s,
                    self.last_arrival_s,
                    self.last_arrival_s + FINISH_LIMIT_S,
                )
            )
            await asyncio.sleep(WARM_UP_S + BEFORE_S)
            self.fault_at_s = now_s()
            async with PRIMARY_FAULTS.get(self.fault)(context.cluster, primary):
                await load_task
                used_s = time.process_time() - processor_s
                processor_share = used_s / (now_s() - started_s)
                await self.load.finish()
        series = self.build_series()
        row = {"rate_per_s": round(rate_per_s, 1), **self.summarize(series)}
        row["load_tool_cpu"] = round(processor_share, 2)
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
        """Return the events counted and the queue maxima in each time step."""
        span = (self.fault_at_s - BEFORE_S, self.last_arrival_s)
        record = self.record
        failed_at_s = [at_s for at_s, _ in record.failed_attempts]
        queue: list[tuple[float, float]] = []
        executing: list[tuple[float, float]] = []
        for sample in self.samples:
            queue.append((sample.at_s, sample.waiting + sample.waiting_for_primary))
            executing.append((sample.at_s, sample.executing))
        return {
            "arrivals": count_in_steps(self.load.arrived_at_s, *span),
            "attempts": count_in_steps(record.attempted_at_s, *span),
            "acknowledged": count_in_steps(record.acknowledged_at_s, *span),
            "refused": count_in_steps(failed_at_s, *span),
            "queue": find_step_maxima(queue, *span),
            "executing": find_step_maxima(executing, *span),
        }

    def summarize(self, series: dict[str, list[float]]) -> Row:
        """Compare the time before the fault with the time after it."""
        record, fault_at_s = self.record, self.fault_at_s
        before = {name: values[:BEFORE_STEPS] for name, values in series.items()}
        after = {name: values[BEFORE_STEPS:] for name, values in series.items()}
        kinds = Counter(
            kind for at_s, kind in record.failed_attempts if at_s >= fault_at_s
        )
        acknowledged = [before["acknowledged"], after["acknowledged"]]
        return {
            "gap_s": round(record.find_longest_gap_s(fault_at_s), 3),
            "attempts_per_ack": round(
                len(record.attempted_at_s) / max(1, len(record.acknowledged)), 2
            ),
            "peak_attempts_before": find_peak_rate(before["attempts"]),
            "peak_attempts_after": find_peak_rate(after["attempts"]),
            "queue_before": max(before["queue"]),
            "queue_peak": max(after["queue"]),
            "queue_back_s": find_rise_recovery_s(before["queue"], after["queue"]),
            "goodput_before": round(sum(before["acknowledged"]) / BEFORE_S, 1),
            "goodput_back_s": find_drop_recovery_s(*acknowledged),
            "write_p99_ms": compute_write_p99_ms(record),
            "refused_after": " ".join(f"{kind}:{n}" for kind, n in kinds.most_common()),
        }


def compute_write_p99_ms(record: WorkloadRecord) -> float:
    """Return the 99th percentile of the time from arrival to acknowledgement."""
    return round(1000 * (find_quantile(record.write_latencies_s, 0.99) or 0.0), 1)
