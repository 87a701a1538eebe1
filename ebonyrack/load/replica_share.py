"""Experiment: share of reads served by replicas, and latency of reads."""

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

CALLER_COUNT = 24
THINK_S = 0.02
LAGS_S = (0.02, 0.5)
POLICIES = ("quorum", "primary_only", "primary_after_write")
# Seven of ten callers are visitors; the others write more often, so that a tenth of
# all operations are still writes.
VISITOR_SHARE = 0.7
WRITE_SHARE = 0.1
VISITOR_AGE = "2s"


@dataclass(frozen=True, slots=True)
class CallerMix:
    """Mix of callers who book and visitors who only read.

    Attributes:
        visitor_share: Share of callers who are visitors.
        visitor_age: Maximum staleness of the visitors' reads, such as `2s`; empty for
            none.
    """

    visitor_share: float = 0.0
    visitor_age: str = ""


CALLER_MIXES = {
    "all book": CallerMix(),
    "visitors": CallerMix(VISITOR_SHARE),
    f"visitors, {VISITOR_AGE} old": CallerMix(VISITOR_SHARE, VISITOR_AGE),
}


@dataclass(frozen=True, slots=True)
class Site:
    """Sizes of one of the users' database groups.

    Attributes:
        slots: Number of statements that run at the same time on an upstream.
        connection_limit: Number of connections that an upstream accepts.
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


async def configure_group(
    context: ExperimentContext, site: Site, lag_s: float, **keys: object
) -> None:
    """Configure the group with the sizes of a site and a replication lag."""
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
    """Run the booking workload for each site, lag, read policy and mix of callers."""
    rows: list[Row] = []
    for site_name, site in SITES.items():
        for lag_s in LAGS_S:
            for policy in context.policies or POLICIES:
                await configure_group(context, site, lag_s, read_policy=policy)
                for mix_name, mix in CALLER_MIXES.items():
                    row = await run_mix(context, mix)
                    condition = {
                        "site": site_name,
                        "lag_ms": round(lag_s * 1000),
                        "policy": policy,
                        "crowd": mix_name,
                    }
                    rows.append({**condition, **row})
                    print(json.dumps(rows[-1]), flush=True)
    return ExperimentResult(rows, rows)


async def run_mix(context: ExperimentContext, mix: CallerMix) -> Row:
    """Run the workload with one mix of callers and return its figures."""
    options = replace(
        context.options,
        run_id=f"share{time.time_ns():x}",
        think_s=THINK_S,
        sample_share=1.0,
        write_share=WRITE_SHARE / (1 - mix.visitor_share),
        visitor_share=mix.visitor_share,
        visitor_age=mix.visitor_age,
    )
    result = await run_booking(
        context.upstreams, options, CALLER_COUNT, context.duration_s
    )
    figures = result.summarize()
    return {name: figures[name] for name in REPORTED_FIGURES}


REPORTED_FIGURES = (
    "replica_read_share",
    "read_median_ms",
    "read_p99_ms",
    "reads",
    "acknowledged",
    "stale_reads",
    "lost",
    "doubled",
)
