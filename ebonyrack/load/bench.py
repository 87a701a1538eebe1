"""Compares a proxy with a direct connection to the upstream, in one run."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from statistics import median
from typing import Any

from ebonyrack.core.address import Address
from ebonyrack.core.clock import now_s
from ebonyrack.load.process_stats import KIB
from ebonyrack.load.process_stats import read_processor_s
from ebonyrack.load.process_stats import read_resident_bytes
from ebonyrack.load.record import find_quantile
from ebonyrack.load.simple_query_client import SimpleQueryClient

SERIAL_BLOCKS = 20
BLOCK_STATEMENTS = 100
CONNECT_CONCURRENCY = 50
MEMORY_WAIT_S = 2.0


@dataclass(frozen=True, slots=True)
class BenchOptions:
    """Targets and sizes of a benchmark.

    Attributes:
        proxy: Address of the proxy.
        upstream: Address of an upstream of its group.
        proxy_pid: Process ID of the proxy, for memory and processor time.
        callers: Number of callers in the throughput measurements.
        duration_s: Length of each throughput measurement, in seconds.
        idle_callers: Number of callers in the memory measurement.
    """

    proxy: Address
    upstream: Address
    proxy_pid: int
    callers: int = 32
    duration_s: float = 5.0
    idle_callers: int = 2500


def build_select(number: int) -> str:
    """Build a statement with the given number as a literal."""
    return f"SELECT slot, booker FROM bookings WHERE slot = {number}"


async def measure_latencies(client: SimpleQueryClient, count: int) -> list[float]:
    """Return the latencies of statements sent one after another, in seconds."""
    latencies_s = []
    for number in range(count):
        started_s = now_s()
        await client.query(build_select(number))
        latencies_s.append(now_s() - started_s)
    return latencies_s


async def compare_latency(options: BenchOptions) -> dict[str, Any]:
    """Compare the latency of one caller, alternating between blocks of statements."""
    direct_s: list[float] = []
    proxied_s: list[float] = []
    async with (
        SimpleQueryClient(options.upstream) as direct,
        SimpleQueryClient(options.proxy) as proxied,
    ):
        await measure_latencies(direct, BLOCK_STATEMENTS)
        await measure_latencies(proxied, BLOCK_STATEMENTS)
        for _ in range(SERIAL_BLOCKS):
            direct_s += await measure_latencies(direct, BLOCK_STATEMENTS)
            proxied_s += await measure_latencies(proxied, BLOCK_STATEMENTS)
    return {
        "direct_median_ms": round(median(direct_s) * 1000, 3),
        "proxy_median_ms": round(median(proxied_s) * 1000, 3),
        "added_median_ms": round((median(proxied_s) - median(direct_s)) * 1000, 3),
        "proxy_p99_ms": round((find_quantile(proxied_s, 0.99) or 0) * 1000, 3),
        "latency_ratio": round(median(proxied_s) / median(direct_s), 2),
    }


async def measure_rate(address: Address, callers: int, duration_s: float) -> float:
    """Return the statements per second of callers that never pause."""
    stop_at_s = now_s() + duration_s
    counts = [0] * callers

    async def run(index: int) -> None:
        async with SimpleQueryClient(address) as client:
            while now_s() < stop_at_s:
                if await client.query(build_select(counts[index])):
                    counts[index] += 1

    started_s = now_s()
    async with asyncio.TaskGroup() as tasks:
        for index in range(callers):
            tasks.create_task(run(index))
    return sum(counts) / (now_s() - started_s)


async def compare_rates(options: BenchOptions) -> dict[str, Any]:
    """Compare throughput and compute the proxy's processor time per statement."""
    direct = await measure_rate(options.upstream, options.callers, options.duration_s)
    before_s = read_processor_s(options.proxy_pid)
    proxied = await measure_rate(options.proxy, options.callers, options.duration_s)
    used_s = read_processor_s(options.proxy_pid) - before_s
    statements = proxied * options.duration_s
    return {
        "direct_statements_per_s": round(direct),
        "proxy_statements_per_s": round(proxied),
        "rate_ratio": round(proxied / direct, 2),
        "proxy_cpu_us_per_statement": round(used_s / statements * 1e6),
    }


async def measure_memory(options: BenchOptions) -> dict[str, Any]:
    """Measure the proxy's memory without callers and with many idle ones."""
    before_bytes = read_resident_bytes(options.proxy_pid)
    clients = [SimpleQueryClient(options.proxy) for _ in range(options.idle_callers)]
    semaphore = asyncio.Semaphore(CONNECT_CONCURRENCY)

    async def connect_one(client: SimpleQueryClient) -> None:
        async with semaphore:
            await client.open()
            await client.query(build_select(1))

    async with asyncio.TaskGroup() as tasks:
        for client in clients:
            tasks.create_task(connect_one(client))
    await asyncio.sleep(MEMORY_WAIT_S)
    after_bytes = read_resident_bytes(options.proxy_pid)
    for client in clients:
        client.close()
    return {
        "idle_callers": options.idle_callers,
        "resident_before_mb": round(before_bytes / KIB / KIB, 1),
        "resident_with_callers_mb": round(after_bytes / KIB / KIB, 1),
        "kib_per_idle_caller": round(
            (after_bytes - before_bytes) / options.idle_callers / KIB, 2
        ),
    }


async def run_bench(options: BenchOptions) -> dict[str, Any]:
    """Run all comparisons.

    Memory is measured first, since a process that was busy retains freed memory.

    Args:
        options: Targets and sizes of the benchmark.

    Returns:
        Figures by name.
    """
    figures: dict[str, Any] = {}
    figures["idle_resident_mb"] = round(
        read_resident_bytes(options.proxy_pid) / KIB / KIB, 1
    )
    figures |= await measure_memory(options)
    figures |= await compare_latency(options)
    figures |= await compare_rates(options)
    return figures
