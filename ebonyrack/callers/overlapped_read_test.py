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
# Nothing is polled unless a request needs it, and no poll is given up.
QUIET = {"probe_interval_s": 60, "suspect_after_s": 30, "read_wait_s": 20}
READY = b"Z\0\0\0\5I"
CHUNK_BYTES = 256 * 1024


@pytest.fixture
def placed():
    """Placement decisions: event, reason and upstream."""
    decisions = []

    def note(message):
        record = message.record
        if record["message"].startswith("read_"):
            extra = record["extra"]
            decisions.append((record["message"], extra["reason"], extra["upstream"]))

    handler = logger.add(note)
    yield decisions
    logger.remove(handler)


async def steer(proxy, name, other):
    """Make reads go to one replica at first: the other one is busier."""
    await wait_until(lambda: proxy.pool(name).idle_count)
    await proxy.group.poll_all()
    return await proxy.pool(other).acquire("tests", now_s() + 5.0)


async def write_elsewhere(proxy, *holders):
    """Write as if by another proxy; the named replicas show it."""
    address = proxy.standins["up-1"].address
    direct = await open_connection(address, "ebonyrack", "", "booking", 5.0)
    await direct.query("INSERT INTO bookings (slot, booker) VALUES (1, 'new')", 5.0)
    direct.close()
    for name in holders:
        upstream = proxy.standins[name]
        await upstream.applied.wait_for(proxy.standins["up-1"].log.last, 5.0)


async def read_in_vain(proxy, caller, prepare):
    """Read on a replica that lacks a write; judge it when its answer has come."""
    proxy.standins.cut("up-1", "up-2")
    await write_elsewhere(proxy, "up-3")
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
    """Return the connections in use."""
    return sum(item.pool.busy_count for item in proxy.group.upstreams.values())


@pytest.mark.parametrize("prepare", [False, True])
async def test_strict_read_is_sent_before_its_index_is_known(placed, prepare):
    async with open_proxy(**QUIET) as proxy, await proxy.connect() as caller:
        held = await steer(proxy, "up-2", "up-3")
        for _ in range(3):
            cursor = await caller.execute(SELECT, prepare=prepare)
            assert await cursor.fetchall() == []
        await wait_until(lambda: len(placed) >= 3)
        assert set(placed) == {("read_placed", "overlapped", "up-2")}
        proxy.pool("up-3").release(held)
        assert count_busy(proxy) == 0


@pytest.mark.parametrize("prepare", [False, True])
async def test_answer_of_a_replica_that_lacks_a_write_is_dropped(placed, prepare):
    async with open_proxy(**QUIET) as proxy, await proxy.connect() as caller:
        held = await steer(proxy, "up-2", "up-3")
        proxy.standins.cut("up-1", "up-2")
        await write_elsewhere(proxy, "up-3")
        cursor = await caller.execute(SELECT, prepare=prepare)
        assert await cursor.fetchall() == [("new",)]
        await wait_until(lambda: len(placed) >= 2)
        assert placed[0] == ("read_overlap_dropped", "not_reached", "up-2")
        assert placed[1][0] == "read_placed" and placed[1][1] != "overlapped"
        proxy.pool("up-3").release(held)
        assert count_busy(proxy) == 0
        proxy.standins.heal()
        cursor = await caller.execute(SELECT, prepare=prepare)
        assert await cursor.fetchall() == [("new",)]


@pytest.mark.parametrize("prepare", [False, True])
async def test_connection_whose_dropped_answer_came_whole_is_kept(placed, prepare):
    async with open_proxy(**QUIET) as proxy, await proxy.connect() as caller:
        held = await steer(proxy, "up-2", "up-3")
        connection = await read_in_vain(proxy, caller, prepare)
        assert placed[0] == ("read_overlap_dropped", "not_reached", "up-2")
        assert proxy.pool("up-2").idle == [connection]
        assert bool(connection.prepared) == prepare
        proxy.pool("up-3").release(held)
        proxy.standins.heal()
        for _ in range(10):
            cursor = await caller.execute(SELECT, prepare=prepare)
            assert await cursor.fetchall() == [("new",)]
        assert count_busy(proxy) == 0


async def test_large_answer_waits_at_the_upstream_for_its_index(placed):
    async with open_proxy(**QUIET) as proxy, await proxy.connect() as caller:
        for number in range(30):
            await caller.execute(INSERT, ("x" * 100_000, str(number)))
        for name in ("up-2", "up-3"):
            upstream = proxy.standins[name]
            await upstream.applied.wait_for(proxy.standins["up-1"].log.last, 5.0)
        await caller.execute("RESET ebonyrack.token")
        held = await steer(proxy, "up-2", "up-3")
        for name in ("up-1", "up-3"):
            proxy.standins.freeze(name)
        reading = asyncio.create_task(caller.execute(SELECT))
        await wait_until(lambda: proxy.pool("up-2").busy_count)
        (connection,) = proxy.pool("up-2").busy
        await wait_until(lambda: connection.frames.is_paused)
        assert len(connection.frames.buffer) < READ_BUFFER_BYTES + CHUNK_BYTES
        assert not reading.done()
        for name in ("up-1", "up-3"):
            proxy.standins.resume(name)
        rows = await (await reading).fetchall()
        assert rows == [("x" * 100_000,)] * 30
        assert placed[-1] == ("read_placed", "overlapped", "up-2")
        proxy.pool("up-3").release(held)


async def test_cancelled_answer_that_is_dropped_is_not_asked_for_again(placed):
    async with open_proxy(**QUIET) as proxy, await proxy.connect() as caller:
        held = await steer(proxy, "up-2", "up-3")
        proxy.standins.cut("up-1", "up-2")
        await write_elsewhere(proxy, "up-3")
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
        assert [event for event, *_ in placed] == ["read_overlap_dropped"]
        proxy.pool("up-3").release(held)
        proxy.standins.heal()
