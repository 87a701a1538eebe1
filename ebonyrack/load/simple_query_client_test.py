import os

import pytest

from ebonyrack.load.bench import BenchOptions
from ebonyrack.load.bench import run_bench
from ebonyrack.load.simple_query_client import SimpleQueryClient
from ebonyrack.load.simple_query_client import SimpleQueryError
from ebonyrack.standins.group import StandinGroup
from ebonyrack.standins.options import UpstreamOptions


async def test_query_counts_rows_and_stores_the_error():
    async with StandinGroup(count=1) as group:
        async with SimpleQueryClient(group["up-1"].address) as client:
            assert await client.query("VALUES (1), (2)")
            assert client.rows == 2
            assert not await client.query("SELECT * FROM missing")
            assert b"42P01" in client.error
            await group.kill("up-1")
            with pytest.raises(SimpleQueryError):
                await client.query("SELECT 1")


async def test_refused_startup_raises_an_error():
    options = UpstreamOptions(connection_limit=0)
    async with StandinGroup(count=1, options=options) as group:
        with pytest.raises(SimpleQueryError, match="too many"):
            await SimpleQueryClient(group["up-1"].address).open()


async def test_bench_reports_figures_of_all_comparisons(monkeypatch):
    monkeypatch.setattr("ebonyrack.load.bench.SERIAL_BLOCKS", 1)
    monkeypatch.setattr("ebonyrack.load.bench.BLOCK_STATEMENTS", 5)
    monkeypatch.setattr("ebonyrack.load.bench.MEMORY_WAIT_S", 0.0)
    async with StandinGroup(count=1) as group:
        address = group["up-1"].address
        options = BenchOptions(address, address, os.getpid(), 2, 0.05, 5)
        figures = await run_bench(options)
    assert figures["proxy_statements_per_s"] > 0
    assert figures["idle_callers"] == 5
