"""Experiment: goodput under overload by callers that retry without limit."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Iterable
from dataclasses import replace
from functools import partial

from ebonyrack.core.clock import now_s
from ebonyrack.load.booking import run_booking
from ebonyrack.load.caller import BookingCaller
from ebonyrack.load.context import EXPERIMENTS
from ebonyrack.load.context import ExperimentContext
from ebonyrack.load.context import ExperimentResult
from ebonyrack.load.replica_share import SITES
from ebonyrack.load.results import Row

# A statement holds its slot this long, so that the slots are the bottleneck and not the
# processors that the stand-ins share with the proxies.
STATEMENT_COST_S = 0.02
LOADS = (1, 2, 5)
THINK_S = 0.5
PREPARE_LIMIT_S = 40.0
PREPARE_CONCURRENCY = 8
# Nine of ten operations are reads, each one statement on one of two replicas. The
# primary's slots suffice for the writes, of three statements each.
READ_SHARE = 0.9
CAPACITY_OPERATIONS_PER_S = 2 * SITES["siam"].slots / STATEMENT_COST_S / READ_SHARE
UNBOUNDED_QUEUE: dict[str, object] = {"queue_limit": 100_000, "queue_wait_s": 60.0}
# Short enough for callers to be refused; the default queues hold all of them.
SHORT_QUEUE: dict[str, object] = {"queue_limit": 20}
QUEUE_SETTINGS: dict[str, dict[str, object]] = {
    "bounded": {},
    "short": SHORT_QUEUE,
    "unbounded": UNBOUNDED_QUEUE,
}


@EXPERIMENTS.register("goodput")
async def measure_goodput(context: ExperimentContext) -> ExperimentResult:
    """Offer one, two and five times the load that the group can serve.

    The number of callers is chosen to offer that load if replies took no time.
    """
    rows: list[Row] = []
    site = SITES["siam"]
    for queue, keys in QUEUE_SETTINGS.items():
        await context.cluster.inject("options", slots=site.slots)
        await context.cluster.change_group(**keys)
        for load in LOADS:
            caller_count = round(load * CAPACITY_OPERATIONS_PER_S * THINK_S)
            options = replace(
                context.options,
                run_id=f"good{time.time_ns():x}",
                think_s=THINK_S,
                sample_share=0.0,
                attempt_timeout_s=60.0,
            )
            result = await run_booking(
                context.upstreams,
                options,
                caller_count,
                context.duration_s,
                prepare=partial(prepare_callers, context),
            )
            figures = result.summarize()
            rows.append(
                {
                    "queue": queue,
                    "load": load,
                    "callers": caller_count,
                    "goodput_per_s": round(result.done_in_time / context.duration_s, 1),
                    "refusals": sum(figures["failures"].values()),
                    **{name: figures[name] for name in REPORTED_FIGURES},
                }
            )
            print(json.dumps(rows[-1]), flush=True)
    return ExperimentResult(rows, rows)


async def prepare_callers(
    context: ExperimentContext, callers: list[BookingCaller]
) -> None:
    """Connect every caller to each proxy and make one reservation with each caller.

    Otherwise the load would begin with as many writes as there are callers, while the
    load tool is busy opening connections. Statements cost nothing during this.

    Args:
        context: The running cluster.
        callers: The callers.
    """
    await context.cluster.inject("options", statement_cost_s=0.0)
    remaining = iter(callers)
    await asyncio.gather(
        *(prepare_remaining(remaining) for _ in range(PREPARE_CONCURRENCY))
    )
    await context.cluster.inject("options", statement_cost_s=STATEMENT_COST_S)


async def prepare_remaining(remaining: Iterable[BookingCaller]) -> None:
    """Prepare callers from an iterator that several tasks share."""
    for caller in remaining:
        await caller.connections.open_all()
        await caller.reserve(now_s() + PREPARE_LIMIT_S)


REPORTED_FIGURES = (
    "acknowledged",
    "reads",
    "write_median_ms",
    "write_p99_ms",
    "read_median_ms",
    "read_p99_ms",
    "lost",
    "doubled",
    "stale_reads",
    "unfinished",
)
