import asyncio

import psycopg
import pytest
from loguru import logger

from ebonyrack.callers.conftest import open_proxy
from ebonyrack.callers.conftest import wait_until
from ebonyrack.core.clock import now_s
from ebonyrack.upstreams.opening import open_connection
from ebonyrack.upstreams.transport import READ_BUFFER_BYTES

INSERT = "INSERT INTO bookings (slot, booker, request) VALUES (1, %s, %s)"
SELECT = "SELECT booker FROM bookings"
# Upstreams are polled only if a request needs it, and no poll times out.
QUIET = {"probe_interval_s": 60, "suspect_after_s": 30, "read_wait_s": 20}
READY = b"Z\0\0\0\5I"
MAXIMUM_RECEIVE_BYTES = 256 * 1024


@pytest.fixture
def placements():
    """Placement decisions: event, reason and upstream."""
    decisions = []

    def record_decision(message):
        record = message.record
        if record["message"].startswith("read_"):
            extra = record["extra"]
            decisions.append((record["message"], extra["reason"], extra["upstream"]))

    handler = logger.add(record_decision)
    yield decisions
    logger.remove(handler)


async def prefer_replica(proxy, name, other):
    """Make reads prefer one replica by holding a connection to the other one."""
    await wait_until(lambda: proxy.pool(name).idle_count)
    await proxy.group.poll_all()
    return await proxy.pool(other).acquire("tests", now_s() + 5.0)


async def write_through_other_proxy(proxy, *replicas):
    """Write as another proxy would, and wait until the named replicas apply it."""
    address = proxy.standins["up-1"].address
    direct = await open_connection(address, "ebonyrack", "", "booking", 5.0)
    await direct.query("INSERT INTO bookings (slot, booker) VALUES (1, 'new')", 5.0)
    direct.close()
    for name in replicas:
        upstream = proxy.standins[name]
        await upstream.applied.wait_for(proxy.standins["up-1"].log.last, 5.0)


async def read_dropped_answer(proxy, caller, prepare):
    """Have up-2, which lacks a write, answer in full; return its connection.

    The answer is validated and dropped only once all of it has arrived.
    """
    proxy.standins.cut("up-1", "up-2")
    await write_through_other_proxy(proxy, "up-3")
    for name in ("up-1", "up-3"):
        proxy.standins.freeze(name)
    reading = asyncio.create_task(caller.execute(SELECT, prepare=prepare))
    await wait_until(lambda: proxy.pool("up-2").busy_count)
    (connection,) = proxy.pool("up-2").busy
    await wait_until(lambda: connection.frames.buffer.endswith(READY))
    for name in ("up-1", "up-3"):
        proxy.standins.resume(name)
    assert await (await reading).fetchall() == [("new",)]
    return connection


def count_busy(proxy):
    """Return the number of connections in use."""
    return sum(item.pool.busy_count for item in proxy.group.upstreams.values())


@pytest.mark.parametrize("prepare", [False, True])
async def test_strict_read_is_sent_before_its_index_is_known(placements, prepare):
    async with open_proxy(**QUIET) as proxy, await proxy.connect() as caller:
        held = await prefer_replica(proxy, "up-2", "up-3")
        for _ in range(3):
            cursor = await caller.execute(SELECT, prepare=prepare)
            assert await cursor.fetchall() == []
        await wait_until(lambda: len(placements) >= 3)
        assert set(placements) == {("read_placed", "overlapped", "up-2")}
        proxy.pool("up-3").release(held)
        assert count_busy(proxy) == 0


@pytest.mark.parametrize("prepare", [False, True])
async def test_answer_of_replica_that_lacks_a_write_is_dropped(placements, prepare):
    async with open_proxy(**QUIET) as proxy, await proxy.connect() as caller:
        held = await prefer_replica(proxy, "up-2", "up-3")
        proxy.standins.cut("up-1", "up-2")
        await write_through_other_proxy(proxy, "up-3")
        cursor = await caller.execute(SELECT, prepare=prepare)
        assert await cursor.fetchall() == [("new",)]
        await wait_until(lambda: len(placements) >= 2)
        assert placements[0] == ("read_overlap_dropped", "not_reached", "up-2")
        assert placements[1][0] == "read_placed" and placements[1][1] != "overlapped"
        proxy.pool("up-3").release(held)
        assert count_busy(proxy) == 0
        proxy.standins.heal()
        cursor = await caller.execute(SELECT, prepare=prepare)
        assert await cursor.fetchall() == [("new",)]


@pytest.mark.parametrize("prepare", [False, True])
async def test_connection_is_reused_after_whole_answer_is_dropped(placements, prepare):
    async with open_proxy(**QUIET) as proxy, await proxy.connect() as caller:
        held = await prefer_replica(proxy, "up-2", "up-3")
        connection = await read_dropped_answer(proxy, caller, prepare)
        assert placements[0] == ("read_overlap_dropped", "not_reached", "up-2")
        assert proxy.pool("up-2").idle == [connection]
        assert bool(connection.prepared) == prepare
        proxy.pool("up-3").release(held)
        proxy.standins.heal()
        for _ in range(10):
            cursor = await caller.execute(SELECT, prepare=prepare)
            assert await cursor.fetchall() == [("new",)]
        assert count_busy(proxy) == 0


async def test_large_answer_waits_at_upstream_for_read_index(placements):
    async with open_proxy(**QUIET) as proxy, await proxy.connect() as caller:
        for number in range(30):
            await caller.execute(INSERT, ("x" * 100_000, str(number)))
        for name in ("up-2", "up-3"):
            upstream = proxy.standins[name]
            await upstream.applied.wait_for(proxy.standins["up-1"].log.last, 5.0)
        await caller.execute("RESET ebonyrack.token")
        held = await prefer_replica(proxy, "up-2", "up-3")
        for name in ("up-1", "up-3"):
            proxy.standins.freeze(name)
        reading = asyncio.create_task(caller.execute(SELECT))
        await wait_until(lambda: proxy.pool("up-2").busy_count)
        (connection,) = proxy.pool("up-2").busy
        await wait_until(lambda: connection.frames.is_paused)
        assert len(connection.frames.buffer) < READ_BUFFER_BYTES + MAXIMUM_RECEIVE_BYTES
        assert not reading.done()
        for name in ("up-1", "up-3"):
            proxy.standins.resume(name)
        rows = await (await reading).fetchall()
        assert rows == [("x" * 100_000,)] * 30
        assert placements[-1] == ("read_placed", "overlapped", "up-2")
        proxy.pool("up-3").release(held)


async def test_cancelled_read_with_dropped_answer_is_not_retried(placements):
    async with open_proxy(**QUIET) as proxy, await proxy.connect() as caller:
        held = await prefer_replica(proxy, "up-2", "up-3")
        proxy.standins.cut("up-1", "up-2")
        await write_through_other_proxy(proxy, "up-3")
        for name in ("up-1", "up-3"):
            proxy.standins.freeze(name)
        reading = asyncio.create_task(caller.execute(SELECT))
        await wait_until(lambda: proxy.pool("up-2").busy_count)
        (connection,) = proxy.pool("up-2").busy
        await wait_until(lambda: connection.frames.buffer)
        await caller.cancel_safe()
        await wait_until(lambda: connection.is_cancelled)
        for name in ("up-1", "up-3"):
            proxy.standins.resume(name)
        with pytest.raises(psycopg.errors.QueryCanceled):
            await reading
        assert [event for event, *_ in placements] == ["read_overlap_dropped"]
        proxy.pool("up-3").release(held)
        proxy.standins.heal()
