"""A slow primary is replaced unless that would not help."""

import asyncio

import pytest

from ebonyrack.core.clock import now_s
from ebonyrack.failover import slowness as slowness_module
from ebonyrack.failover.bench_test import until
from ebonyrack.failover.safeguards import Safeguards

SLOW = {"slow_answer_s": 0.05, "slow_after_s": 0.4, "suspect_after_s": 0.4}
DELAY_S = 0.12


@pytest.fixture(autouse=True)
def no_pause(monkeypatch):
    """Allow a switchover right after the start."""
    monkeypatch.setattr(slowness_module, "PAUSE_FACTOR", 0.0)


async def check_repeatedly(slowness):
    """Run the check repeatedly without the interval between attempts."""
    for _ in range(20):
        await slowness.group.poll_all()
        slowness.attempted_at_s = 0.0
        await slowness.check()


async def test_slow_primary_is_replaced_without_interrupting_writes(start_bench):
    bench = await start_bench(proxies=3, **SLOW)
    bench.standins.delay_answers("up-1", DELAY_S)
    groups = [proxy.group for proxy in bench.proxies.values()]
    written = await bench.write_while(
        lambda: any(group.primary_name == "up-1" for group in groups)
    )
    await until(bench.is_converged)
    assert sorted(bench.read_requests("up-1")) == sorted(written)


async def test_primary_stays_if_all_upstreams_are_equally_slow(start_bench):
    bench = await start_bench(proxies=3, **SLOW)
    for name in bench.standins.names:
        bench.standins.delay_answers(name, DELAY_S)
    first = bench.by_rank()[0]
    groups = [proxy.group for proxy in bench.proxies.values()]
    await until(lambda: all(group.upstreams["up-1"].is_slow for group in groups))
    await check_repeatedly(first.coordinator.slowness)
    assert {group.term for group in groups} == {1}


async def test_slow_primary_stays_while_only_one_replica_is_fast(start_bench):
    bench = await start_bench(proxies=1, **SLOW)
    proxy = bench.proxies["proxy-1"]
    for name in ("up-1", "up-2"):
        bench.standins.delay_answers(name, DELAY_S)
    await until(lambda: proxy.group.upstreams["up-1"].is_slow)
    await check_repeatedly(proxy.coordinator.slowness)
    assert proxy.group.term == 1


@pytest.mark.parametrize("needs_pre_vote", [True, False])
async def test_slow_link_of_one_proxy_does_not_move_the_primary(
    start_bench, needs_pre_vote
):
    bench = await start_bench(proxies=0, **SLOW)
    for number in range(3):
        safeguards = Safeguards(needs_pre_vote=needs_pre_vote)
        await bench.add_proxy(f"proxy-{number + 1}", safeguards)
    groups = [proxy.group for proxy in bench.proxies.values()]
    await until(lambda: all(group.primary() for group in groups))
    await until(bench.is_ranked)
    first = bench.by_rank()[0]
    upstream = first.group.upstreams["up-1"]
    query_status = upstream.query_status

    async def query_slowly(deadline_s):
        await asyncio.sleep(DELAY_S)
        return await query_status(deadline_s)

    upstream.query_status = query_slowly
    if not needs_pre_vote:
        await until(lambda: first.group.term > 1)
        return
    await until(lambda: upstream.is_slow)
    await check_repeatedly(first.coordinator.slowness)
    assert {group.term for group in groups} == {1}


async def test_open_transaction_is_rolled_back_only_after_some_attempts(start_bench):
    bench = await start_bench(**SLOW)
    proxy = bench.proxies["proxy-1"]
    slowness = proxy.coordinator.slowness
    primary = proxy.group.primary()
    connection = await primary.pool.acquire("tests", now_s() + 5)
    await connection.query("BEGIN", 5.0)
    bench.standins.delay_answers("up-1", DELAY_S)
    await until(lambda: slowness.failed_attempts == slowness_module.UNFORCED_ATTEMPTS)
    assert not connection.is_closed
    await until(lambda: proxy.group.primary_name != "up-1")
    primary.pool.release(connection)


async def test_one_fast_poll_resets_slowness(start_bench):
    bench = await start_bench(slow_answer_s=0.05, slow_after_s=0.001)
    upstream = bench.proxies["proxy-1"].group.upstreams["up-1"]
    upstream.slow_since_s = now_s() - 60.0
    upstream.slow_poll_count = 100
    upstream.answered_at_s = now_s()
    assert upstream.is_slow
    upstream.record_poll_time(0.04)
    assert not upstream.is_slow
    upstream.record_poll_time(0.06)
    assert not upstream.is_slow
    # One slow poll is not enough, however long it took: this process may have paused.
    upstream.slow_since_s = now_s() - 60.0
    upstream.answered_at_s = now_s()
    assert not upstream.is_slow
