import asyncio

import asyncpg
import psycopg
import pytest
from pygwire import messages

from ebonyrack.load.simple_query_client import SimpleQueryClient
from ebonyrack.standins.conftest import INSERT
from ebonyrack.standins.conftest import connect
from ebonyrack.standins.conftest import fetch
from ebonyrack.standins.group import StandinGroup
from ebonyrack.standins.options import UpstreamOptions
from ebonyrack.standins.upstream import StandinUpstream


async def connect_asyncpg(upstream: StandinUpstream):
    address = upstream.address
    return await asyncpg.connect(
        host=address.host, port=address.port, user="ebonyrack", database="booking"
    )


async def test_psycopg_reads_and_writes_with_simple_and_extended_queries(connection):
    await connection.execute(INSERT, (1, "Mali", "r-1"), prepare=True)
    await connection.execute(INSERT, (2, "Anong", "r-2"), prepare=True)
    rows = await fetch(
        connection, "SELECT slot, booker FROM bookings WHERE slot >= %s", (2,)
    )
    assert rows == [(2, "Anong")]
    rows = await fetch(connection, "SELECT count(*), NULL, 1.5 FROM bookings")
    assert rows == [(2, None, 1.5)]
    with pytest.raises(psycopg.errors.UniqueViolation):
        await connection.execute(INSERT, (3, "Somchai", "r-1"))


async def test_asyncpg_reads_and_writes_in_binary_format(group):
    connection = await connect_asyncpg(group["up-1"])
    tag = await connection.execute(
        "INSERT INTO bookings (slot, booker, request) VALUES ($1, $2, $3)",
        7,
        "Niran",
        "r-7",
    )
    assert tag == "INSERT 0 1"
    async with connection.transaction():
        slot = await connection.fetchval(
            "UPDATE bookings SET slot = slot + $1 WHERE request = $2 RETURNING slot",
            1,
            "r-7",
        )
        assert slot == 8
    rows = await connection.fetch("SELECT slot, booker FROM bookings LIMIT $1", 5)
    assert [tuple(row) for row in rows] == [(8, "Niran")]
    await connection.reset()
    await connection.close()


async def test_transaction_status_follows_errors(writer):
    status = psycopg.pq.TransactionStatus
    await writer.execute(INSERT, (1, "a", "r"))
    assert writer.info.transaction_status == status.INTRANS
    with pytest.raises(psycopg.errors.UndefinedTable):
        await writer.execute("SELECT * FROM missing")
    assert writer.info.transaction_status == status.INERROR
    with pytest.raises(psycopg.errors.InFailedSqlTransaction):
        await writer.execute("SELECT 1")
    await writer.rollback()
    assert await fetch(writer, "SELECT * FROM bookings") == []


async def test_rollback_to_savepoint_keeps_earlier_statements(writer):
    await writer.execute(INSERT, (1, "a", "r-1"))
    with pytest.raises(psycopg.errors.UniqueViolation):
        async with writer.transaction():
            await writer.execute(INSERT, (1, "a", "r-1"))
    await writer.execute(INSERT, (2, "a", "r-2"))
    await writer.commit()
    rows = await fetch(writer, "SELECT slot FROM bookings ORDER BY slot")
    assert rows == [(1,), (2,)]


async def test_readers_see_only_committed_rows(group):
    writer = await connect(group["up-1"], autocommit=False)
    reader = await connect(group["up-1"])
    async with writer, reader:
        await writer.execute(INSERT, (1, "a", "r-1"))
        assert await fetch(reader, "SELECT * FROM bookings") == []
        assert len(await fetch(writer, "SELECT * FROM bookings")) == 1
        await writer.commit()
        assert len(await fetch(reader, "SELECT * FROM bookings")) == 1


async def test_writers_of_different_keys_do_not_block_each_other(writers):
    first, second = writers
    await first.execute(INSERT, (1, "a", "r-1"))
    await second.execute(INSERT, (2, "b", "r-2"))
    for connection, slot in ((first, 1), (second, 2)):
        rows = await fetch(connection, "SELECT slot FROM bookings")
        assert rows == [(slot,)]
    await second.commit()
    await first.commit()
    rows = await fetch(first, "SELECT slot FROM bookings ORDER BY slot")
    assert rows == [(1,), (2,)]


async def test_writer_of_the_same_key_waits_for_commit_and_sees_the_conflict(
    group, writers
):
    claim = (
        "INSERT INTO ebonyrack_requests (key, outcome) VALUES (%s, '')"
        " ON CONFLICT (key) DO NOTHING"
    )
    first, second = writers
    assert (await first.execute(claim, ("k",))).rowcount == 1
    waiting = asyncio.create_task(second.execute(claim, ("k",)))
    while len(group["up-1"].sessions) < 2 or not any(
        session.is_executing for session in group["up-1"].sessions.values()
    ):
        await asyncio.sleep(0)
    await first.commit()
    assert (await waiting).rowcount == 0


async def test_commit_fails_if_a_concurrent_write_changed_its_results(writers):
    first, second = writers
    await first.execute("INSERT INTO bookings (slot) VALUES (1)")
    await first.commit()
    await first.execute("UPDATE bookings SET slot = slot * slot")
    await second.execute("DELETE FROM bookings")
    await second.commit()
    with pytest.raises(psycopg.errors.SerializationFailure):
        await first.commit()
    assert await fetch(first, "SELECT * FROM bookings") == []


async def test_implicit_transaction_with_a_conflict_fails_at_sync(group):
    update = (messages.Parse(query="UPDATE bookings SET slot = slot * 2"),)
    update += (messages.Bind(), messages.Execute(), messages.Flush())
    second = await connect(group["up-1"])
    async with SimpleQueryClient(group["up-1"].address) as first, second:
        await second.execute(INSERT, (1, "a", "r"))
        first.writer.write(b"".join(message.to_wire() for message in update))
        while not any(
            session.transaction and session.transaction.statements
            for session in group["up-1"].sessions.values()
        ):
            await asyncio.sleep(0.001)
        await second.execute("DELETE FROM bookings")
        first.writer.write(messages.Sync().to_wire())
        await first.read_answer()
        assert b"40001" in first.error
        assert await first.query("SELECT * FROM bookings") and not first.rows


async def test_connections_over_the_limit_are_rejected_except_the_administrator():
    async with StandinGroup(options=UpstreamOptions(connection_limit=1)) as group:
        async with await connect(group["up-1"]):
            with pytest.raises(psycopg.OperationalError, match="too many"):
                await connect(group["up-1"])
            async with await connect(group["up-1"], user="postgres") as administrator:
                assert await fetch(administrator, "SELECT 1") == [(1,)]
        async with await connect(group["up-1"]) as connection:
            assert await fetch(connection, "SELECT 1") == [(1,)]


async def test_wrong_password_is_rejected():
    options = UpstreamOptions(user="ebonyrack", password="secret")
    async with StandinGroup(count=1, options=options) as group:
        with pytest.raises(psycopg.OperationalError):
            await connect(group["up-1"], password="wrong")
        async with await connect(group["up-1"], password="secret") as connection:
            assert await fetch(connection, "SELECT 1") == [(1,)]


async def test_cancel_request_stops_the_statement_but_not_the_session(
    group, connection
):
    query = asyncio.create_task(connection.execute("SELECT pg_sleep(60)"))
    session = next(iter(group["up-1"].sessions.values()))
    while not session.is_executing:
        await asyncio.sleep(0)
    await connection.cancel_safe()
    with pytest.raises(psycopg.errors.QueryCanceled):
        await query
    assert await fetch(connection, "SELECT 1") == [(1,)]


async def test_tables_can_be_created_and_scripts_are_atomic(connection):
    await connection.execute(
        "CREATE TABLE flights (id SERIAL PRIMARY KEY, at TIMESTAMPTZ"
        " DEFAULT now(), ok BOOLEAN); INSERT INTO flights (ok) VALUES (true);"
    )
    rows = await fetch(connection, "SELECT id, ok FROM flights")
    assert rows == [(1, True)]
    with pytest.raises(psycopg.errors.UniqueViolation):
        await connection.execute(
            "INSERT INTO flights (id) VALUES (2);INSERT INTO flights (id) VALUES (1)"
        )
    assert len(await fetch(connection, "SELECT id FROM flights")) == 1
