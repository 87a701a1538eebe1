"""Bursts towards an upstream that refuses statements because its queue is full."""

import asyncio

import pytest

from ebonyrack.core.address import Address
from ebonyrack.core.clock import now_s
from ebonyrack.members.member import MemberQueueSettings
from ebonyrack.pooling import connection_limit
from ebonyrack.pooling.pool import Pool

SHARE = 7
WAIT_S = 20.0


class FakeConnection:
    def __init__(self, account=""):
        self.account = account
        self.is_clean = True
        self.is_idle_in_transaction = False

    def close(self):
        self.is_clean = False


@pytest.fixture
async def pool():
    async def connect(timeout_s, account):
        return FakeConnection(account)

    async with Pool(
        Address("127.0.0.1", 1), MemberQueueSettings(), SHARE, connect
    ) as running:
        yield running


async def acquire_many(pool, count):
    return [await pool.acquire("booking", now_s() + WAIT_S) for _ in range(count)]


def start_waiter(pool):
    return asyncio.create_task(pool.acquire("booking", now_s() + WAIT_S))


async def test_requests_wait_in_the_pool_after_an_overload(pool):
    working = await acquire_many(pool, SHARE)
    pool.record_overload()
    for connection in working[:4]:
        pool.release(connection)
    waiter = start_waiter(pool)
    await asyncio.sleep(0)
    assert pool.waiting_count == 1
    pool.release(working[4])
    await waiter
    assert pool.working_count == SHARE // 2


async def test_overload_closes_no_connections(pool):
    working = await acquire_many(pool, SHARE)
    pool.record_overload()
    for connection in working:
        pool.release(connection)
    assert pool.idle_count == SHARE


async def test_idle_transaction_does_not_count_against_the_concurrency_limit(pool):
    (connection,) = await acquire_many(pool, 1)
    pool.record_overload()
    waiter = start_waiter(pool)
    await asyncio.sleep(0)
    assert not waiter.done()
    connection.is_idle_in_transaction = True
    pool.grant_slots()
    await waiter


async def test_concurrency_limit_rises_again(pool, monkeypatch):
    monkeypatch.setattr(connection_limit, "REFUSAL_HOLD_S", 0.0)
    monkeypatch.setattr(connection_limit, "RAISE_INTERVAL_S", 0.01)
    working = await acquire_many(pool, SHARE)
    pool.record_overload()
    waiters = [start_waiter(pool) for _ in working]
    for connection in working:
        pool.release(connection)
    async with asyncio.timeout(WAIT_S):
        await asyncio.gather(*waiters)
    assert pool.working_count == SHARE


async def test_one_overflow_connection_is_opened_beside_idle_transactions(pool):
    # Callers that begin, write and stay idle hold all connections of the share.
    for connection in await acquire_many(pool, SHARE):
        connection.is_idle_in_transaction = True
    async with asyncio.timeout(WAIT_S):
        overflow = await start_waiter(pool)
    waiter = start_waiter(pool)
    await asyncio.sleep(0)
    assert pool.open_count == SHARE + 1
    pool.release(overflow)
    assert not overflow.is_clean
    await waiter


async def test_no_overflow_connection_after_a_refusal(pool):
    for connection in await acquire_many(pool, SHARE):
        connection.is_idle_in_transaction = True
    pool.record_refusal()
    waiter = start_waiter(pool)
    await asyncio.sleep(0)
    assert pool.open_count == SHARE
    waiter.cancel()
