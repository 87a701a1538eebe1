"""Experiment: goodput under overload by callers that retry for ever."""

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

# A statement that holds a slot this long makes the slots the limit, and not the
# processors that the stand-ins share with the proxies.
STATEMENT_COST_S = 0.02
LOADS = (1, 2, 5)
THINK_S = 0.5
PREPARE_LIMIT_S = 40.0
PREPARED_AT_ONCE = 8
# Nine of ten operations are reads, each one statement on one of two replicas. The
# primary carries the writes, three statements each, within its own slots.
READ_SHARE = 0.9
CAPACITY_OPERATIONS_PER_S = 2 * SITES["siam"].slots / STATEMENT_COST_S / READ_SHARE
UNBOUNDED: dict[str, object] = {"queue_limit": 100_000, "queue_wait_s": 60.0}
# Short enough for the crowd to be refused; the usual queues hold all of it.
SHORT: dict[str, object] = {"queue_limit": 20}
QUEUES: dict[str, dict[str, object]] = {
    "bounded": {},
    "short": SHORT,
    "unbounded": UNBOUNDED,
}


@EXPERIMENTS.register("goodput")
async def measure_goodput(context: ExperimentContext) -> ExperimentResult:
    """Offer once, twice and five times what the group can carry.

    The number of callers is what would offer that load if answers took no time.
    """
    rows: list[Row] = []
    site = SITES["siam"]
    for queue, keys in QUEUES.items():
        await context.cluster.inject("options", slots=site.slots)
        await context.cluster.change_group(**keys)
        for load in LOADS:
            callers = round(load * CAPACITY_OPERATIONS_PER_S * THINK_S)
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
                callers,
                context.duration_s,
                prepare=partial(prepare_callers, context),
            )
            figures = result.summarize()
            rows.append(
                {
                    "queue": queue,
                    "load": load,
                    "callers": callers,
                    "goodput_per_s": round(result.done_in_time / context.duration_s, 1),
                    "refusals": sum(figures["failures"].values()),
                    **{name: figures[name] for name in SHOWN},
                }
            )
            print(json.dumps(rows[-1]), flush=True)
    return ExperimentResult(rows, rows)


async def prepare_callers(
    context: ExperimentContext, crowd: list[BookingCaller]
) -> None:
    """Connect every caller to each proxy and let it reserve once, at no cost.

    Else the load would begin with as many writes as there are callers, and the load
    tool would be busy opening connections.

    Args:
        context: The running cluster.
        crowd: The callers.
    """
    await context.cluster.inject("options", statement_cost_s=0.0)
    waiting = iter(crowd)
    await asyncio.gather(*(prepare_each(waiting) for _ in range(PREPARED_AT_ONCE)))
    await context.cluster.inject("options", statement_cost_s=STATEMENT_COST_S)


async def prepare_each(waiting: Iterable[BookingCaller]) -> None:
    """Prepare callers one after the other, until another task has taken the last."""
    for caller in waiting:
        await caller.connections.open_all()
        await caller.reserve(now_s() + PREPARE_LIMIT_S)


SHOWN = (
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
