import asyncio

import psycopg
import pytest

from ebonyrack.callers.conftest import find_error
from ebonyrack.callers.conftest import join_kinds
from ebonyrack.callers.conftest import open_proxy
from ebonyrack.callers.conftest import wait_until
from ebonyrack.callers.watchdog import check_sessions
from ebonyrack.core.clock import now_s
from ebonyrack.upstreams.connection import UpstreamConnection

INSERT = "INSERT INTO bookings (slot, booker, request) VALUES (1, 'me', '{}')"
COUNT = "SELECT count(*) FROM bookings"
# Reads wait for replicas, and late answers don't make replicas unhealthy.
LONG_TIMEOUTS = {"suspect_after_s": 30, "read_wait_s": 20}


async def fetch(connection, sql, values=None):
    return await (await connection.execute(sql, values)).fetchall()


async def write(writer, number):
    """Write a booking and return the session token."""
    await writer.execute(INSERT.format(number))
    return writer.info.parameter_status("ebonyrack.token")


async def read_by_token(proxy, token, count):
    """Read in a new session with a token and return the upstream that served it."""
    options = f"-c ebonyrack.token={token}"
    async with await proxy.connect(options=options) as reader:
        assert await fetch(reader, COUNT) == [(count,)]
        served_by = await fetch(reader, "SHOW ebonyrack.served_by")
        assert (await fetch(reader, "SHOW ebonyrack.token"))[0][0]
    return served_by[0][0]


async def test_session_with_token_reads_its_writes_on_replicas():
    async with open_proxy(**LONG_TIMEOUTS) as proxy:
        proxy.standins.set_lag(0.02)
        async with await proxy.connect() as writer:
            for number in range(5):
                token = await write(writer, number)
                served_by = await read_by_token(proxy, token, number + 1)
                assert served_by.endswith("replica")


async def test_read_goes_to_primary_when_replicas_answer_too_late(proxy):
    async with await proxy.connect() as writer:
        token = await write(writer, 0)
        for name in ("up-2", "up-3"):
            delay_s = 1.5 * proxy.group.section.suspect_after_s
            proxy.standins[name].faults.answer_delay_s = delay_s
        await wait_until(lambda: not proxy.group.replicas())
        assert (await read_by_token(proxy, token, 1)).endswith("primary")


async def test_read_without_token_sees_every_acknowledged_write(proxy):
    proxy.standins.set_lag(0.02)
    async with await proxy.connect() as writer, await proxy.connect() as reader:
        for number in range(5):
            await writer.execute(INSERT.format(number))
            assert await fetch(reader, COUNT) == [(number + 1,)]


async def test_transaction_stays_on_one_primary_connection(proxy):
    async with await proxy.connect(autocommit=False) as connection:
        await connection.execute(INSERT.format("a"))
        assert await fetch(connection, COUNT) == [(1,)]
        assert proxy.pool().busy_count == 1
        await connection.rollback()
        assert proxy.pool().busy_count == 0
        assert await fetch(connection, COUNT) == [(0,)]
        await connection.commit()
    assert proxy.pool().busy_count == 0


async def test_begin_holds_no_connection_before_first_statement(proxy):
    caller = await proxy.start_wire()
    assert await caller.query("BEGIN") == [(b"C", b"BEGIN\x00"), (b"Z", b"T")]
    assert proxy.pool().busy_count == 0
    assert await caller.query("COMMIT") == [(b"C", b"COMMIT\x00"), (b"Z", b"I")]


async def test_read_only_transaction_may_use_replica(proxy):
    async with await proxy.connect() as connection:
        await connection.execute("BEGIN READ ONLY")
        assert await fetch(connection, COUNT) == [(0,)]
        assert proxy.pool().busy_count == 0
        await connection.execute("COMMIT")


async def test_failed_transaction_answers_as_postgresql_does(proxy):
    caller = await proxy.start_wire()
    await caller.query("BEGIN")
    assert (await caller.query("SELECT nonsense FROM nowhere"))[-1] == (b"Z", b"E")
    frames = await caller.query("SELECT 1")
    assert find_error(frames)[0] == "25P02" and frames[-1] == (b"Z", b"E")
    frames = await caller.query("SET ebonyrack.max_age = '5s'")
    assert find_error(frames)[0] == "25P02"
    assert await caller.query("COMMIT") == [(b"C", b"ROLLBACK\x00"), (b"Z", b"I")]


async def test_unsupported_statement_fails_transaction(proxy):
    caller = await proxy.start_wire()
    await caller.query("BEGIN")
    await caller.query(INSERT.format("a"))
    frames = await caller.query("LISTEN news")
    assert find_error(frames)[0] == "0A000" and frames[-1] == (b"Z", b"E")
    assert find_error(await caller.query("SELECT 1"))[0] == "25P02"
    assert await caller.query("ROLLBACK") == [(b"C", b"ROLLBACK\x00"), (b"Z", b"I")]
    assert proxy.count_rows("up-1", "a") == 0


@pytest.mark.parametrize(
    "sql",
    [
        "COPY bookings FROM STDIN",
        "COPY bookings TO STDOUT",
        "LISTEN news",
        "SET work_mem = '1GB'",
        "SET timezone = 'Asia/Tokyo'",
        "CREATE TEMPORARY TABLE t (id integer)",
        "SELECT 1; COMMIT",
        "SET ebonyrack.max_age = 'long'",
    ],
)
async def test_statement_unsupported_on_pooled_connections_is_rejected(proxy, sql):
    caller = await proxy.start_wire()
    frames = await caller.query(sql)
    sqlstate, detail = find_error(frames)
    assert sqlstate == "0A000" and detail.startswith("ran=no")
    assert join_kinds(await caller.query("SELECT 1")) == "TDCZ"


@pytest.mark.parametrize(
    "sql",
    [
        "SET client_encoding TO 'UTF8'",
        "SET application_name = 'tool'",
        "SET extra_float_digits = 3",
        "SET standard_conforming_strings = on",
        "SET TIME ZONE 'UTC'",
        'SET search_path = "$user", public',
        "SET search_path TO DEFAULT",
        "RESET ALL",
        "DISCARD ALL",
        "DEALLOCATE ALL",
    ],
)
async def test_settings_without_effect_are_accepted(proxy, sql):
    caller = await proxy.start_wire()
    assert join_kinds(await caller.query(sql)) == "CZ"


async def test_read_is_retried_when_connection_is_lost_before_answer(
    proxy, monkeypatch
):
    lost = []

    async def lose_once(connection):
        if not lost:
            lost.append(connection)
            connection.close()
        return await read_message(connection)

    read_message = UpstreamConnection.read_message
    monkeypatch.setattr(UpstreamConnection, "pop_message", lambda connection: None)
    caller = await proxy.start_wire()
    monkeypatch.setattr(UpstreamConnection, "read_message", lose_once)
    assert join_kinds(await caller.query(COUNT)) == "TDCZ"
    assert len(lost) == 1


async def test_cancel_request_affects_only_its_session(proxy):
    async with await proxy.connect() as slow, await proxy.connect() as other:
        running = asyncio.create_task(slow.execute("SELECT pg_sleep(60)"))
        await wait_until(lambda: any(s.phase == "upstream" for s in proxy.sessions))
        await other.cancel_safe()
        assert not running.done()
        await slow.cancel_safe()
        with pytest.raises(psycopg.errors.QueryCanceled):
            await running
        assert await fetch(slow, COUNT) == [(0,)]
        busy = [upstream.pool.busy_count for upstream in proxy.group.upstreams.values()]
        assert sum(busy) == 0


async def test_request_waiting_for_connection_can_be_cancelled():
    async with open_proxy(limit=2) as proxy:
        async with await proxy.connect() as holding, await proxy.connect() as waiting:
            await holding.execute("BEGIN")
            await holding.execute(INSERT.format("a"))
            running = asyncio.create_task(waiting.execute(INSERT.format("b")))
            await wait_until(lambda: proxy.pool().waiting_count == 1)
            await waiting.cancel_safe()
            with pytest.raises(psycopg.errors.QueryCanceled) as raised:
                await running
            assert raised.value.diag.message_detail.startswith("ran=no")
            await holding.execute("COMMIT")
            assert proxy.pool().waiting_count == 0


async def test_disconnected_caller_frees_its_connection(proxy):
    caller = await proxy.start_wire()
    running = asyncio.create_task(caller.query("SELECT pg_sleep(60)"))
    await wait_until(lambda: any(s.phase == "upstream" for s in proxy.sessions))
    caller.abort()
    await asyncio.gather(running, return_exceptions=True)
    await wait_until(lambda: not proxy.sessions)
    await wait_until(lambda: not proxy.listener.cancels)
    for upstream in proxy.group.upstreams.values():
        assert upstream.pool.busy_count == 0
        running_there = proxy.standins[upstream.name].sessions.values()
        assert not any(session.is_executing for session in running_there)


async def test_transaction_idle_too_long_is_rolled_back(proxy):
    caller = await proxy.start_wire()
    await caller.query("BEGIN")
    await caller.query(INSERT.format("a"))
    limit_s = proxy.group.section.idle_in_transaction_s
    await wait_until(lambda: proxy.sessions[0].phase == "idle")
    check_sessions(proxy.sessions, now_s() + limit_s + 1)
    assert proxy.pool().busy_count == 0
    frames = await caller.query("SELECT 1")
    assert find_error(frames)[0] == "25P03" and frames[-1] == (b"Z", b"E")
    await caller.query("COMMIT")
    assert join_kinds(await caller.query(COUNT)) == "TDCZ"
    assert proxy.count_rows("up-1", "a") == 0


async def test_connection_of_unresponsive_upstream_is_closed(proxy):
    caller = await proxy.start_wire()
    await caller.query("BEGIN")
    await caller.query(INSERT.format("a"))
    proxy.standins.freeze("up-1")
    running = asyncio.create_task(caller.query(INSERT.format("b")))
    await wait_until(lambda: proxy.sessions[0].phase == "upstream")
    check_sessions(proxy.sessions, now_s() + proxy.group.section.answer_wait_s + 1)
    frames = await running
    assert find_error(frames)[0] == "08006" and frames[-1] == (b"Z", b"E")
    proxy.standins.resume("up-1")


async def test_idempotency_key_makes_single_write_run_once(proxy):
    async with await proxy.connect() as connection:
        for replayed in ("off", "on"):
            await connection.execute("SET ebonyrack.idempotency_key = 'k'")
            cursor = await connection.execute(INSERT.format("a"))
            assert cursor.statusmessage == "INSERT 0 1"
            status = connection.info.parameter_status("ebonyrack.replayed")
            assert status == replayed
        assert await fetch(connection, COUNT) == [(1,)]
        # The key applies to one transaction only.
        await connection.execute(INSERT.format("b"))
        assert await fetch(connection, COUNT) == [(2,)]


async def test_idempotency_key_makes_transaction_run_once(proxy):
    async with await proxy.connect() as connection:
        await connection.execute("SET ebonyrack.idempotency_key = 'k'")
        async with connection.transaction():
            await connection.execute(INSERT.format("a"))
        await connection.execute("SET ebonyrack.idempotency_key = 'k'")
        with pytest.raises(psycopg.errors.UniqueViolation) as raised:
            async with connection.transaction():
                await connection.execute(INSERT.format("b"))
        assert raised.value.diag.message_detail.startswith("ran=yes")
        assert "COMMIT" in raised.value.diag.message_detail
        assert await fetch(connection, COUNT) == [(1,)]


async def test_failed_keyed_write_does_not_consume_key(proxy):
    async with await proxy.connect() as connection:
        await connection.execute(INSERT.format("a"))
        for request, error in (("a", psycopg.errors.UniqueViolation), ("b", None)):
            await connection.execute("SET ebonyrack.idempotency_key = 'k'")
            if error is None:
                await connection.execute(INSERT.format(request))
                continue
            with pytest.raises(error):
                await connection.execute(INSERT.format(request))
        assert await fetch(connection, COUNT) == [(2,)]


async def test_caller_that_reads_no_answer_is_disconnected(proxy):
    insert = "INSERT INTO bookings (slot, booker, request) VALUES (%s, %s, %s)"
    async with await proxy.connect() as writer:
        for number in range(20):
            await writer.execute(insert, (number, "me", f"{number:0500000}"))
    await wait_until(lambda: not proxy.sessions)
    caller = await proxy.start_wire()
    caller.send(b"Q\x00\x00\x00\x21SELECT request FROM bookings\x00")
    await wait_until(lambda: proxy.sessions[0].phase == "caller")
    limit_s = proxy.group.section.idle_in_transaction_s
    check_sessions(proxy.sessions, now_s() + limit_s + 1)
    await wait_until(lambda: not proxy.sessions)
    for upstream in proxy.group.upstreams.values():
        assert not upstream.pool.busy
    answer = await caller.read_to_end()
    assert answer and not answer.endswith(b"Z\x00\x00\x00\x05I")
