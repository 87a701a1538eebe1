import asyncio

import psycopg
import pytest
from pygwire.messages import CancelRequest

from ebonyrack.callers.conftest import find_error
from ebonyrack.callers.conftest import join_kinds
from ebonyrack.callers.conftest import wait_until

INSERT = "INSERT INTO bookings (slot, booker, request) VALUES (1, 'me', '{}')"
WORKERS = 6
DRAIN_LIMIT_S = 20.0


class Worker:
    """A caller that writes in a loop and records the acknowledged requests."""

    def __init__(self, number):
        self.number = number
        self.acknowledged = []
        self.rejected = None
        self.error = None

    async def run(self, proxy):
        connection = await proxy.connect()
        for count in range(10_000):
            request = f"w{self.number}-{count}"
            try:
                async with connection.transaction():
                    await connection.execute(INSERT.format(request))
            except psycopg.Error as error:
                self.rejected = request
                self.error = error
                return
            self.acknowledged.append(request)


async def test_drain_interrupts_no_request(proxy):
    workers = [Worker(number) for number in range(WORKERS)]
    tasks = [asyncio.create_task(worker.run(proxy)) for worker in workers]
    await wait_until(lambda: all(len(worker.acknowledged) > 3 for worker in workers))
    proxy.listener.services.drain.request("test")
    assert await proxy.listener.drain(DRAIN_LIMIT_S) == 0
    await asyncio.gather(*tasks)
    for worker in workers:
        # The request that ended the session was rejected before it ran.
        assert worker.error.sqlstate == "57P01"
        assert worker.error.diag.message_detail.startswith("ran=no")
        assert proxy.count_rows("up-1", f"'{worker.rejected}'") == 0
        for request in worker.acknowledged:
            assert proxy.count_rows("up-1", f"'{request}'") == 1


async def test_drain_waits_for_open_transaction(proxy):
    caller = await proxy.start_wire()
    idle = await proxy.start_wire()
    await caller.query("BEGIN")
    await caller.query(INSERT.format("a"))
    proxy.listener.services.drain.request("test")
    drain = asyncio.create_task(proxy.listener.drain(DRAIN_LIMIT_S))
    assert b"C57P01" in await idle.read_to_end()
    frames = await caller.query("COMMIT")
    assert join_kinds(frames) == "CSZ" and not drain.done()
    assert b"C57P01" in await caller.read_to_end()
    assert await drain == 0
    with pytest.raises(psycopg.OperationalError):
        await proxy.connect()


async def test_drain_counts_interrupted_sessions(proxy):
    caller = await proxy.start_wire()
    await caller.query("BEGIN")
    await caller.query(INSERT.format("a"))
    proxy.listener.services.drain.request("test")
    assert await proxy.listener.drain(0.05) == 1


async def test_second_shutdown_request_forces_drain(proxy):
    caller = await proxy.start_wire()
    await caller.query("BEGIN")
    drain = proxy.listener.services.drain
    drain.request("test")
    running = asyncio.create_task(proxy.listener.drain(DRAIN_LIMIT_S))
    await asyncio.sleep(0)
    drain.request("test again")
    assert await running == 1


async def test_cancel_request_with_wrong_secret_is_ignored(proxy):
    caller = await proxy.start_wire()
    running = asyncio.create_task(caller.query("SELECT pg_sleep(0.1)"))
    await wait_until(lambda: proxy.sessions[0].phase == "upstream")
    other = await proxy.open_wire()
    secret = bytes(byte ^ 1 for byte in proxy.sessions[0].secret_key)
    request = CancelRequest(process_id=proxy.sessions[0].number, secret_key=secret)
    other.send(request.to_wire())
    assert await other.read_to_end() == b""
    assert join_kinds(await running) == "TDCZ"


async def test_internal_error_is_answered_and_affects_no_other_session(
    proxy, monkeypatch
):
    caller, other = [await proxy.start_wire() for _ in range(2)]
    monkeypatch.setattr("ebonyrack.callers.session.classify_statement", None)
    caller.send(b"Q\x00\x00\x00\x0dSELECT 1\x00")
    frames = [await caller.read_frame()]
    sqlstate, detail = find_error(frames)
    assert sqlstate == "XX000" and detail.startswith("ran=unknown")
    monkeypatch.undo()
    assert join_kinds(await other.query("SELECT 1")) == "TDCZ"
