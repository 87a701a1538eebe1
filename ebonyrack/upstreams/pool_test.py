import asyncio

import pytest

from ebonyrack.config.sections import GroupSection
from ebonyrack.core.address import Address
from ebonyrack.core.clock import now_s
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.upstreams.connection import UpstreamLostError
from ebonyrack.upstreams.pool import ConnectionPool

WAIT_S = 20.0


def build_pool(upstream, limit, **values):
    section = GroupSection(owner="database", upstreams=(), **values)
    return ConnectionPool(upstream.address, section, limit)


def acquire(pool, caller="booking", wait_s=WAIT_S):
    return asyncio.create_task(pool.acquire(caller, now_s() + wait_s))


async def wait_until(condition):
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0)


async def test_clean_connection_is_reused(upstream):
    async with build_pool(upstream, 2) as pool:
        first = await acquire(pool)
        pool.release(first)
        assert await acquire(pool) is first
        assert upstream.opened == 1


async def test_unclean_connection_is_closed_and_its_slot_freed(upstream):
    upstream.responses["BEGIN"] = b"Z\0\0\0\x05T"
    async with build_pool(upstream, 1) as pool:
        first = await acquire(pool)
        await first.query("BEGIN", WAIT_S)
        pool.release(first)
        second = await acquire(pool)
        assert first.is_closed
        assert second is not first


async def test_only_completed_requests_count_for_the_service_time(upstream):
    async with build_pool(upstream, 1) as pool:
        before_s = pool.queue.estimator.service_s
        broken = await acquire(pool)
        pool.busy[broken] -= 60
        broken.close()
        pool.release(broken)
        assert pool.queue.estimator.service_s == before_s
        intact = await acquire(pool)
        pool.busy[intact] -= 60
        pool.release(intact)
        assert pool.queue.estimator.service_s > 1


async def test_broken_idle_connection_is_not_handed_out(upstream):
    async with build_pool(upstream, 1) as pool:
        first = await acquire(pool)
        pool.release(first)
        upstream.drop_sessions()
        await wait_until(lambda: first.is_closed)
        second = await acquire(pool)
        assert (await second.query("a", WAIT_S)).rows == (("a",),)


async def test_connection_can_be_released_only_once(upstream):
    async with build_pool(upstream, 1) as pool:
        connection = await acquire(pool)
        pool.release(connection)
        with pytest.raises(ValueError):
            pool.release(connection)


async def test_waiters_of_a_caller_are_served_in_order(upstream):
    async with build_pool(upstream, 1) as pool:
        held = await acquire(pool)
        served = []

        async def use(number):
            connection = await pool.acquire("booking", now_s() + WAIT_S)
            served.append(number)
            pool.release(connection)

        tasks = [asyncio.create_task(use(number)) for number in range(5)]
        await wait_until(lambda: pool.waiting_count == 5)
        pool.release(held)
        await asyncio.gather(*tasks)
        assert served == [0, 1, 2, 3, 4]


async def test_waiters_fail_immediately_when_the_upstream_leaves(upstream):
    async with build_pool(upstream, 1) as pool:
        held = await acquire(pool)
        waiter = acquire(pool)
        await wait_until(lambda: pool.waiting_count == 1)
        pool.stop_new_work()
        with pytest.raises(UpstreamLostError):
            await waiter
        with pytest.raises(UpstreamLostError):
            await acquire(pool)
        assert (await held.query("a", WAIT_S)).rows == (("a",),)
        pool.release(held)
        assert held.is_closed
        pool.resume_new_work()
        pool.release(await acquire(pool))


async def test_opening_fails_immediately_when_the_upstream_is_lost():
    def accept(reader, writer):
        sessions.append(writer)

    sessions = []
    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    section = GroupSection(owner="database", upstreams=())
    async with ConnectionPool(Address("127.0.0.1", port), section, 2) as pool:
        opening = acquire(pool)
        cancelled = acquire(pool)
        await wait_until(lambda: len(sessions) == 2)
        cancelled.cancel()
        await asyncio.wait({cancelled})
        assert cancelled.cancelled()
        assert pool.open_count == 1
        pool.stop_new_work()
        with pytest.raises(UpstreamLostError, match="accepts no new work"):
            await opening
        assert pool.open_count == 0
    for writer in sessions:
        writer.close()
    server.close()
    await server.wait_closed()


async def test_wait_ends_at_its_deadline_with_a_retry_after(upstream):
    async with build_pool(upstream, 1) as pool:
        held = await acquire(pool)
        with pytest.raises(RequestError) as caught:
            await acquire(pool, wait_s=0.02)
        assert caught.value.kind is ErrorKind.WAIT_TOO_LONG
        assert caught.value.retry_after_s > 0
        assert pool.waiting_count == 0
        pool.release(held)
        assert pool.idle_count == 1


async def test_rejected_connection_lowers_the_limit(upstream):
    upstream.limit = 2
    async with build_pool(upstream, 5) as pool:
        held = [await acquire(pool), await acquire(pool)]
        waiter = acquire(pool)
        await wait_until(lambda: pool.waiting_count == 1)
        assert pool.current_limit == 2
        pool.release(held[0])
        assert await waiter is held[0]
        pool.size_limit.refused_at_s -= 60
        assert pool.current_limit == 5


async def test_request_fails_if_the_upstream_rejects_every_connection(upstream):
    upstream.limit = 0
    async with build_pool(upstream, 5) as pool:
        with pytest.raises(RequestError) as caught:
            await acquire(pool)
        assert caught.value.kind is ErrorKind.WAIT_TOO_LONG
        assert pool.open_count == 0


async def test_resize_while_in_use(upstream):
    async with build_pool(upstream, 3) as pool:
        held = [await acquire(pool) for _ in range(3)]
        pool.resize(1)
        pool.release(held[0])
        pool.release(held[1])
        assert pool.open_count == 1
        waiter = acquire(pool)
        await wait_until(lambda: pool.waiting_count == 1)
        pool.resize(2)
        pool.release(await waiter)
        pool.release(held[2])
        pool.resize(0)
        assert (pool.limit, pool.idle_count) == (1, 1)


async def test_changed_section_changes_the_queue_limit(upstream):
    async with build_pool(upstream, 1) as pool:
        held = await acquire(pool)
        pool.section = pool.section.model_copy(update={"queue_limit": 1})
        waiter = acquire(pool)
        await wait_until(lambda: pool.waiting_count == 1)
        with pytest.raises(RequestError) as caught:
            await acquire(pool)
        assert caught.value.kind is ErrorKind.QUEUE_FULL
        pool.release(held)
        pool.release(await waiter)


async def test_warm_up_stays_within_the_connection_limit(upstream):
    async with build_pool(upstream, 3) as pool:
        assert await pool.warm_up(10) == 3
        assert (pool.idle_count, upstream.opened) == (3, 3)
        upstream.limit = 3
        pool.resize(10)
        assert await pool.warm_up(10) == 3
        assert pool.current_limit == 3


async def test_cancelled_opening_frees_its_slot(upstream):
    async with build_pool(upstream, 1) as pool:
        task = acquire(pool)
        await wait_until(lambda: pool.opening == 1)
        task.cancel()
        await asyncio.wait([task])
        assert pool.open_count == 0
        pool.release(await acquire(pool))
