"""Experiment: share of reads served by replicas, and what reads cost."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass
from dataclasses import replace

from ebonyrack.load.booking import run_booking
from ebonyrack.load.context import EXPERIMENTS
from ebonyrack.load.context import ExperimentContext
from ebonyrack.load.context import ExperimentResult
from ebonyrack.load.results import Row

CALLERS = 24
THINK_S = 0.02
LAGS_S = (0.02, 0.5)
POLICIES = ("quorum", "primary_only", "primary_after_write")
# Seven of ten callers are visitors; the others write more, so that a tenth of all
# operations still writes.
VISITOR_SHARE = 0.7
WRITE_SHARE = 0.1
VISITOR_AGE = "2s"


@dataclass(frozen=True, slots=True)
class Crowd:
    """Who reads: callers of one kind, or visitors beside callers who book.

    Attributes:
        visitor_share: Share of callers who only read.
        visitor_age: Age that those accept, or an empty string.
    """

    visitor_share: float = 0.0
    visitor_age: str = ""


CROWDS = {
    "all book": Crowd(),
    "visitors": Crowd(VISITOR_SHARE),
    f"visitors, {VISITOR_AGE} old": Crowd(VISITOR_SHARE, VISITOR_AGE),
}


@dataclass(frozen=True, slots=True)
class Site:
    """Sizes of one of the users' database groups.

    Attributes:
        slots: Statements that run at the same time on an upstream.
        connection_limit: Connections of an upstream.
        connection_cost_s: Time to open a connection, in seconds.
        link_delay_s: One-way delay between proxies and upstreams, in seconds.
    """

    slots: int
    connection_limit: int
    connection_cost_s: float
    link_delay_s: float


SITES = {
    "siam": Site(3, 20, 0.010, 0.001),
    "tokachi": Site(5, 60, 0.030, 0.001),
}


async def set_site(
    context: ExperimentContext, site: Site, lag_s: float, **keys: object
) -> None:
    """Give the group a site's sizes and a lag of its replicas."""
    await context.cluster.inject(
        "options",
        slots=site.slots,
        connection_limit=site.connection_limit,
        connection_cost_s=site.connection_cost_s,
        link_delay_s=site.link_delay_s,
        apply_delay_s=lag_s,
        statement_cost_s=0.001,
    )
    await context.cluster.change_group(
        slots=site.slots, connection_limit=site.connection_limit, **keys
    )


@EXPERIMENTS.register("replica_share")
async def measure_replica_share(context: ExperimentContext) -> ExperimentResult:
    """Run the booking workload for each site, lag, read policy and crowd."""
    rows: list[Row] = []
    for site_name, site in SITES.items():
        for lag_s in LAGS_S:
            for policy in context.policies or POLICIES:
                await set_site(context, site, lag_s, read_policy=policy)
                for crowd_name, crowd in CROWDS.items():
                    row = await run_crowd(context, crowd)
                    condition = {
                        "site": site_name,
                        "lag_ms": round(lag_s * 1000),
                        "policy": policy,
                        "crowd": crowd_name,
                    }
                    rows.append({**condition, **row})
                    print(json.dumps(rows[-1]), flush=True)
    return ExperimentResult(rows, rows)


async def run_crowd(context: ExperimentContext, crowd: Crowd) -> Row:
    """Run the workload with one kind of crowd."""
    options = replace(
        context.options,
        run_id=f"share{time.time_ns():x}",
        think_s=THINK_S,
        sample_share=1.0,
        write_share=WRITE_SHARE / (1 - crowd.visitor_share),
        visitor_share=crowd.visitor_share,
        visitor_age=crowd.visitor_age,
    )
    result = await run_booking(context.upstreams, options, CALLERS, context.duration_s)
    figures = result.summarize()
    return {name: figures[name] for name in SHOWN}


SHOWN = (
    "replica_read_share",
    "read_median_ms",
    "read_p99_ms",
    "reads",
    "acknowledged",
    "stale_reads",
    "lost",
    "doubled",
)
