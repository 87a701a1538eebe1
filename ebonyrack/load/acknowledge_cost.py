"""Experiment: write latency added by waiting for acknowledgement by a majority."""

from __future__ import annotations

import json
import time
from dataclasses import replace

from ebonyrack.load.booking import run_booking
from ebonyrack.load.booking import to_ms
from ebonyrack.load.context import EXPERIMENTS
from ebonyrack.load.context import ExperimentContext
from ebonyrack.load.context import ExperimentResult
from ebonyrack.load.record import find_quantile
from ebonyrack.load.replica_share import SITES
from ebonyrack.load.replica_share import configure_group
from ebonyrack.load.results import Row

POLICIES = ("majority", "primary_alone", "primary_lease")
CALLER_COUNTS = (1, 8)
ROUNDS = 3


@EXPERIMENTS.register("acknowledge_cost")
async def measure_acknowledge_cost(context: ExperimentContext) -> ExperimentResult:
    """Measure write latencies under each policy, alternating between policies."""
    latencies: dict[tuple[bool, int, str], list[float]] = {}
    policies = context.policies or POLICIES
    for _ in range(ROUNDS):
        for policy in policies:
            await configure_group(
                context, SITES["siam"], 0.0, acknowledge_policy=policy
            )
            for use_keys in (False, True):
                for caller_count in CALLER_COUNTS:
                    options = replace(
                        context.options,
                        run_id=f"cost{time.time_ns():x}",
                        write_share=1.0,
                        sample_share=0.0,
                        use_keys=use_keys,
                    )
                    result = await run_booking(
                        context.upstreams,
                        options,
                        caller_count,
                        context.duration_s / ROUNDS,
                    )
                    latencies.setdefault((use_keys, caller_count, policy), []).extend(
                        result.record.write_latencies_s
                    )
    rows: list[Row] = []
    for (use_keys, caller_count, policy), values in sorted(latencies.items()):
        median_s = find_quantile(values, 0.5)
        base = find_quantile(
            latencies.get((use_keys, caller_count, "primary_alone"), []), 0.5
        )
        added_s = median_s - base if median_s is not None and base is not None else None
        rows.append(
            {
                "keyed": use_keys,
                "callers": caller_count,
                "policy": policy,
                "writes": len(values),
                "median_ms": to_ms(median_s),
                "p99_ms": to_ms(find_quantile(values, 0.99)),
                "added_to_primary_alone_ms": to_ms(added_s),
            }
        )
        print(json.dumps(rows[-1]), flush=True)
    return ExperimentResult(rows, rows)
