"""Measures processor time and memory of proxies without requests."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from ebonyrack.load.process_stats import read_processor_s
from ebonyrack.load.process_stats import read_resident_bytes
from ebonyrack.load.results import Row

BYTES_IN_MB = 1_000_000


@dataclass(frozen=True, slots=True)
class IdleOptions:
    """Proxies to measure and length of the measurement.

    Attributes:
        pids: Process IDs of the proxies.
        groups: Number of database groups in their document.
        duration_s: Length of the measurement, in seconds.
    """

    pids: tuple[int, ...]
    groups: int
    duration_s: float


async def measure_idle_cost(options: IdleOptions) -> list[Row]:
    """Measure all proxies during the same window.

    Args:
        options: Proxies to measure and length of the measurement.

    Returns:
        One row for each proxy.
    """
    before_s = [read_processor_s(pid) for pid in options.pids]
    await asyncio.sleep(options.duration_s)
    return [
        {
            "proxies": len(options.pids),
            "groups": options.groups,
            "proxy": number,
            "processor_percent": round(
                100 * (read_processor_s(pid) - started_s) / options.duration_s, 2
            ),
            "resident_mb": round(read_resident_bytes(pid) / BYTES_IN_MB, 1),
        }
        for number, (pid, started_s) in enumerate(
            zip(options.pids, before_s, strict=True), 1
        )
    ]
