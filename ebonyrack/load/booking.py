"""Runs the booking workload, checks the group and summarizes the result."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ebonyrack.core.address import Address
from ebonyrack.core.clock import now_s
from ebonyrack.load.caller import BookingCaller
from ebonyrack.load.group_check import GroupFindings
from ebonyrack.load.group_check import check_group
from ebonyrack.load.group_check import create_tables
from ebonyrack.load.record import WorkloadRecord
from ebonyrack.load.record import find_quantile
from ebonyrack.load.workload_options import WorkloadOptions

Preparation = Callable[[list[BookingCaller]], Awaitable[None]]

FINISH_LIMIT_S = 15.0
GAP_DIGITS = 4


@dataclass(frozen=True, slots=True)
class BookingResult:
    """Result of a finished workload.

    Attributes:
        record: Replies that the callers received.
        findings: Differences between these replies and the group's data.
        duration_s: Length of the run, in seconds.
        done_in_time: Operations completed while new ones were still started.
        failover_gap_s: Longest time between two acknowledged writes around the
            fault, in seconds; of the whole run if no fault was reported.
    """

    record: WorkloadRecord
    findings: GroupFindings
    duration_s: float
    done_in_time: int
    failover_gap_s: float

    @property
    def is_correct(self) -> bool:
        """Whether no write was lost, doubled or wrongly refused, and no read stale."""
        violations = (
            self.findings.lost,
            self.findings.doubled,
            self.findings.untrue_refusals,
            self.record.untrue_refusals,
            self.record.stale_reads,
        )
        return not any(violations)

    def summarize(self) -> dict[str, Any]:
        """Return the figures by name."""
        record = self.record
        share = record.compute_replica_share()
        return {
            "acknowledged": len(record.acknowledged),
            "lost": self.findings.lost,
            "doubled": self.findings.doubled,
            "stale_reads": record.stale_reads,
            "replica_read_share": None if share is None else round(share, 4),
            "failover_gap_s": round(self.failover_gap_s, GAP_DIGITS),
            "reads": record.reads,
            "unfinished": len(record.unfinished),
            "refused": len(record.refused),
            "untrue_refusals": record.untrue_refusals + self.findings.untrue_refusals,
            "duration_s": round(self.duration_s, 2),
            "write_median_ms": to_ms(find_quantile(record.write_latencies_s, 0.5)),
            "write_p99_ms": to_ms(find_quantile(record.write_latencies_s, 0.99)),
            "read_median_ms": to_ms(find_quantile(record.read_latencies_s, 0.5)),
            "read_p99_ms": to_ms(find_quantile(record.read_latencies_s, 0.99)),
            "failures": dict(record.failures),
        }


def to_ms(value_s: float | None) -> float | None:
    """Convert seconds to milliseconds."""
    return None if value_s is None else round(value_s * 1000, 2)


def read_fault_time(path: Path | None) -> float | None:
    """Return the monotonic time of a fault from a file with its wall-clock time."""
    if path is None or not path.exists():
        return None
    wall_s = float(path.read_text(encoding="utf-8").split()[0])
    return now_s() - (time.time() - wall_s)


async def run_booking(
    upstreams: tuple[Address, ...],
    options: WorkloadOptions,
    caller_count: int,
    duration_s: float,
    fault_time_file: Path | None = None,
    prepare: Preparation | None = None,
) -> BookingResult:
    """Run the workload against proxies and check the group behind them.

    Args:
        upstreams: Addresses of the group's upstreams, for the check.
        options: Behaviour of the callers.
        caller_count: Number of callers.
        duration_s: How long callers start operations, in seconds.
        fault_time_file: File that holds the wall-clock time of a fault, once one was
            injected.
        prepare: Called with the callers before the load begins; its operations count
            neither in the write latencies nor in `done_in_time`.

    Returns:
        The result.
    """
    await create_tables(upstreams)
    record = WorkloadRecord()
    callers = [BookingCaller(number, options, record) for number in range(caller_count)]
    if prepare is not None:
        await prepare(callers)
    done_before = len(record.acknowledged) + record.reads
    record.write_latencies_s.clear()
    started_s = now_s()
    stop_at_s = started_s + duration_s
    async with asyncio.TaskGroup() as tasks:
        for caller in callers:
            tasks.create_task(caller.run(stop_at_s, stop_at_s + FINISH_LIMIT_S))
        await asyncio.sleep(duration_s)
        done_in_time = len(record.acknowledged) + record.reads - done_before
    elapsed_s = now_s() - started_s
    findings = await check_group(upstreams, record, options.run_id)
    gap_s = record.find_longest_gap_s(read_fault_time(fault_time_file))
    return BookingResult(record, findings, elapsed_s, done_in_time, gap_s)


def format_table(summary: dict[str, Any]) -> str:
    """Format figures as two columns."""
    width = max(len(name) for name in summary)
    lines = [f"{name:<{width}}  {value}" for name, value in summary.items()]
    return "\n".join(lines)
