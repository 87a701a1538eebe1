"""Experiment: goodput under overload by callers that retry for ever."""

from __future__ import annotations

import json
import time
from dataclasses import replace

from ebonyrack.load.booking import run_booking
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
# Nine of ten operations are reads, each one statement on one of two replicas. The
# primary carries the writes, three statements each, within its own slots.
READ_SHARE = 0.9
CAPACITY_OPERATIONS_PER_S = 2 * SITES["siam"].slots / STATEMENT_COST_S / READ_SHARE
UNBOUNDED: dict[str, object] = {"queue_limit": 100_000, "queue_wait_s": 60.0}
QUEUES: dict[str, dict[str, object]] = {"bounded": {}, "unbounded": UNBOUNDED}


@EXPERIMENTS.register("goodput")
async def measure_goodput(context: ExperimentContext) -> ExperimentResult:
    """Offer once, twice and five times what the group can carry.

    The number of callers is what would offer that load if answers took no time.
    """
    rows: list[Row] = []
    site = SITES["siam"]
    for queue, keys in QUEUES.items():
        await context.cluster.inject(
            "options", slots=site.slots, statement_cost_s=STATEMENT_COST_S
        )
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
                context.upstreams, options, callers, context.duration_s
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
