import asyncpg
import psycopg
import pytest

from ebonyrack.callers.chunk_renderer import MAXIMUM_PREPARED
from ebonyrack.callers.conftest import FLUSH
from ebonyrack.callers.conftest import GROUP
from ebonyrack.callers.conftest import SYNC
from ebonyrack.callers.conftest import USER
from ebonyrack.callers.conftest import bind
from ebonyrack.callers.conftest import close
from ebonyrack.callers.conftest import describe
from ebonyrack.callers.conftest import execute
from ebonyrack.callers.conftest import find_error
from ebonyrack.callers.conftest import join_kinds
from ebonyrack.callers.conftest import open_proxy
from ebonyrack.callers.conftest import parse
from ebonyrack.callers.conftest import wait_until

INSERT = b"INSERT INTO bookings (slot, booker, request) VALUES (1, 'me', '%s')"
NAMES = ("up-1", "up-2", "up-3")
MAXIMUM_READS = 100
COUNT = b"SELECT count(*) FROM bookings"


def parse_and_execute(sql, name=b""):
    return parse(name, sql) + bind(name) + describe(b"P", b"") + execute()


async def test_read_is_served_by_replica(proxy):
    caller = await proxy.start_wire()
    assert (
        join_kinds(await caller.send_and_read(parse_and_execute(COUNT), SYNC))
        == "12TDCZ"
    )
    frames = await caller.query("SHOW ebonyrack.served_by")
    assert frames[1][1].endswith(b"replica")


async def test_write_reports_session_token(proxy):
    caller = await proxy.start_wire()
    frames = await caller.send_and_read(parse_and_execute(INSERT % b"a"), SYNC)
    assert join_kinds(frames) == "12nCSZ"
    assert proxy.count_rows("up-2", "a") + proxy.count_rows("up-3", "a") >= 1


async def test_named_statement_is_prepared_on_each_connection_used(proxy):
    caller = await proxy.start_wire()
    frames = await caller.send_and_read(parse(b"s", COUNT), describe(b"S", b"s"), SYNC)
    assert join_kinds(frames) == "1tTZ"
    for _ in range(6):
        assert (
            join_kinds(await caller.send_and_read(bind(b"s"), execute(), SYNC))
            == "2DCZ"
        )
    await caller.query("BEGIN")
    assert join_kinds(await caller.send_and_read(bind(b"s"), execute(), SYNC)) == "2DCZ"
    await caller.query("COMMIT")
    assert join_kinds(await caller.send_and_read(close(b"S", b"s"), SYNC)) == "3Z"
    frames = await caller.send_and_read(bind(b"s"), execute(), SYNC)
    assert find_error(frames)[0] == "26000"


async def use_all_connections(proxy, caller, request):
    """Run a request on each upstream that serves it and on all primary connections.

    Other sessions hold the primary's used connections, so that the next one is used.
    """
    served_by = set()
    for _ in range(MAXIMUM_READS):
        assert "E" not in join_kinds(await caller.send_and_read(request))
        served_by.add((await caller.query("SHOW ebonyrack.served_by"))[1])
        if len(served_by) == len(NAMES) - 1:
            break
    holders = []
    for _ in range(proxy.pool().limit):
        await caller.query("BEGIN")
        frames = await caller.send_and_read(request)
        assert "E" not in join_kinds(frames)
        await caller.query("ROLLBACK")
        holder = await proxy.start_wire()
        await holder.query("BEGIN")
        await holder.query("SELECT 1")
        holders.append(holder)
    for holder in holders:
        await holder.query("ROLLBACK")


@pytest.mark.parametrize("is_transaction", [False, True])
@pytest.mark.parametrize("is_read", [False, True])
async def test_stale_statement_is_prepared_again(is_read, is_transaction):
    """Each connection with the old prepared statement fails once and is closed."""
    sql = b"SELECT * FROM bookings"
    if not is_read:
        sql = b"UPDATE bookings SET slot = 2 WHERE request = 'a' RETURNING *"
    async with open_proxy(limit=5) as proxy:
        caller, other = [await proxy.start_wire() for _ in range(2)]
        await other.query("INSERT INTO bookings (slot, request) VALUES (1, 'a')")
        await caller.send_and_read(parse(b"s", sql), SYNC)
        request = bind(b"s") + describe(b"P", b"") + execute() + SYNC
        await use_all_connections(proxy, caller, request)
        await other.query("ALTER TABLE bookings ADD COLUMN note text")
        stale_connections = 0
        while True:
            if is_transaction:
                await caller.query("BEGIN")
            frames = await caller.send_and_read(request)
            if is_transaction:
                await caller.query("ROLLBACK")
            if "E" not in join_kinds(frames):
                break
            assert find_error(frames)[0] == "0A000"
            stale_connections += 1
            assert stale_connections <= len(NAMES) * proxy.pool().limit
        assert stale_connections > 0
        assert join_kinds(frames) in ("2TDCZ", "2TDCSZ") and b"note" in frames[1][1]


async def test_statement_names_of_two_sessions_do_not_collide(proxy):
    first, second = [await proxy.start_wire() for _ in range(2)]
    await first.send_and_read(parse(b"s", b"SELECT 1"), SYNC)
    await second.send_and_read(parse(b"s", b"SELECT 2"), SYNC)
    for _ in range(4):
        for caller, value in ((first, b"1"), (second, b"2")):
            frames = await caller.send_and_read(bind(b"s"), execute(), SYNC)
            assert frames[1][1].endswith(value)


async def test_unnamed_statement_lasts_until_next_query(proxy):
    caller = await proxy.start_wire()
    await caller.send_and_read(parse(b"", b"SELECT 1"), SYNC)
    for _ in range(3):
        assert (
            join_kinds(await caller.send_and_read(bind(b""), execute(), SYNC)) == "2DCZ"
        )
    await caller.query("SELECT 2")
    assert (
        find_error(await caller.send_and_read(bind(b""), execute(), SYNC))[0] == "26000"
    )


async def test_error_skips_to_sync_and_keeps_earlier_statements_prepared(proxy):
    caller = await proxy.start_wire()
    frames = await caller.send_and_read(
        parse(b"good", b"SELECT 1"),
        parse(b"bad", b"SELECT 1; SELECT 2"),
        parse_and_execute(COUNT),
        SYNC,
    )
    assert join_kinds(frames) == "1EZ"
    assert (
        join_kinds(await caller.send_and_read(bind(b"good"), execute(), SYNC)) == "2DCZ"
    )
    assert find_error(await caller.send_and_read(bind(b"bad"), SYNC))[0] == "26000"


async def test_pipeline_outside_transaction_is_atomic(proxy):
    caller = await proxy.start_wire()
    frames = await caller.send_and_read(
        parse_and_execute(INSERT % b"a"), parse_and_execute(INSERT % b"a"), SYNC
    )
    assert find_error(frames)[0] == "23505"
    assert "C" not in join_kinds(frames)[-2:]
    assert proxy.count_rows("up-1", "a") == 0


@pytest.mark.parametrize("last", [b"b", b"a"])
async def test_flush_keeps_pipeline_in_one_transaction(proxy, last):
    caller = await proxy.start_wire()
    caller.send(parse_and_execute(INSERT % b"a"), FLUSH)
    assert [(await caller.read_frame())[0] for _ in range(4)] == [
        b"1",
        b"2",
        b"n",
        b"C",
    ]
    frames = await caller.send_and_read(parse_and_execute(INSERT % last), SYNC)
    assert frames[-1] == (b"Z", b"I")
    assert ("E" in join_kinds(frames)) == (last == b"a")
    assert proxy.count_rows("up-1", "a") == (last != b"a")
    assert proxy.pool().busy_count == 0


async def test_transaction_control_and_variables_within_a_pipeline(proxy):
    caller = await proxy.start_wire()
    frames = await caller.send_and_read(
        parse_and_execute(b"SET ebonyrack.max_age = '0'"),
        parse_and_execute(b"BEGIN"),
        parse_and_execute(INSERT % b"a"),
        parse_and_execute(b"SHOW ebonyrack.max_age"),
        parse_and_execute(b"COMMIT"),
        parse_and_execute(COUNT),
        SYNC,
    )
    assert join_kinds(frames) == "12nC12nC12nC12TDC12nCS12TDCZ"
    assert frames[-3][1].endswith(b"1")


async def test_flush_between_bind_and_execute_keeps_portal(proxy):
    caller = await proxy.start_wire()
    caller.send(parse(b"", COUNT), bind(b""), FLUSH)
    assert [(await caller.read_frame())[0] for _ in range(2)] == [b"1", b"2"]
    assert join_kinds(await caller.send_and_read(execute(), SYNC)) == "DCZ"


@pytest.mark.parametrize("value_bytes", [300_000, 600_000])
async def test_long_pipeline_runs_in_parts_as_one_transaction(proxy, value_bytes):
    insert = "INSERT INTO bookings (slot, booker, request) VALUES (%s, %s, %s)"
    async with await proxy.connect() as connection:
        for last, count in (("0", 0), ("4", 5)):
            rows = [
                (number, "me", f"{number:0{value_bytes}}") for number in (0, 1, 2, 3)
            ]
            rows.append((4, "me", f"{last:0>{value_bytes}}"))
            try:
                async with connection.pipeline():
                    for row in rows:
                        await connection.execute(insert, row)
            except psycopg.errors.UniqueViolation:
                assert count == 0
            cursor = await connection.execute("SELECT count(*) FROM bookings")
            assert await cursor.fetchone() == (count,)


async def test_copy_is_rejected_without_losing_session(proxy):
    caller = await proxy.start_wire()
    frames = await caller.send_and_read(
        parse_and_execute(b"COPY bookings FROM STDIN"), SYNC
    )
    assert find_error(frames)[0] == "0A000" and join_kinds(frames) == "EZ"
    # Data from a driver that did not wait for the rejection is skipped.
    caller.send(b"d\x00\x00\x00\x05x", b"c\x00\x00\x00\x04")
    assert (
        join_kinds(await caller.send_and_read(parse_and_execute(COUNT), SYNC))
        == "12TDCZ"
    )


async def test_several_syncs_in_one_send(proxy):
    caller = await proxy.start_wire()
    caller.send(
        parse_and_execute(COUNT),
        SYNC,
        parse_and_execute(b"SELECT nowhere"),
        SYNC,
        parse_and_execute(COUNT),
        SYNC,
    )
    assert join_kinds(await caller.read_until_ready()) == "12TDCZ"
    assert "E" in join_kinds(await caller.read_until_ready())
    assert join_kinds(await caller.read_until_ready()) == "12TDCZ"


async def test_portal_is_read_in_parts_within_transaction(proxy):
    caller = await proxy.start_wire()
    for request in (b"a", b"b", b"c"):
        await caller.send_and_read(parse_and_execute(INSERT % request), SYNC)
    await caller.query("BEGIN")
    sql = b"SELECT request FROM bookings"
    frames = await caller.send_and_read(
        parse(b"", sql), bind(b"", b"p"), execute(b"p", 2), SYNC, SYNC
    )
    assert join_kinds(frames) == "12DDsZ"
    assert await caller.read_until_ready() == [(b"Z", b"T")]
    assert join_kinds(await caller.send_and_read(execute(b"p", 2), SYNC)) == "DCZ"


async def test_keyed_pipeline_runs_once(proxy):
    caller = await proxy.start_wire()
    for number in range(2):
        await caller.query("SET ebonyrack.idempotency_key = 'k'")
        frames = await caller.send_and_read(
            parse_and_execute(INSERT % b"a"), parse_and_execute(INSERT % b"b"), SYNC
        )
        assert join_kinds(frames) == "12nC12nCSSZ"
        assert (b"C", b"INSERT 0 1\x00") in frames
        assert any(payload.endswith(b"on\x00") for _, payload in frames) == number
    assert proxy.count_rows("up-1", "a") == 1


async def test_connections_keep_a_bounded_number_of_statements():
    async with open_proxy(limit=3) as proxy:
        caller = await proxy.start_wire()
        await caller.query("BEGIN")
        for number in range(MAXIMUM_PREPARED + 3):
            sql = b"SELECT %d" % number
            name = b"s%d" % number
            assert (
                join_kinds(
                    await caller.send_and_read(parse_and_execute(sql, name), SYNC)
                )
                == "12TDCZ"
            )
        assert len(proxy.sessions[0].connection.prepared) <= MAXIMUM_PREPARED
        assert (
            join_kinds(await caller.send_and_read(bind(b"s0"), execute(), SYNC))
            == "2DCZ"
        )


async def test_psycopg_runs_unmodified(proxy):
    async with await proxy.connect() as connection:
        insert = "INSERT INTO bookings (slot, booker, request) VALUES (%s, %s, %s)"
        async with connection.cursor() as cursor:
            await cursor.executemany(insert, [(n, "me", f"r{n}") for n in range(20)])
        for number in range(12):
            sql = "SELECT request FROM bookings WHERE slot = %s"
            cursor = await connection.execute(sql, (number,), prepare=True)
            assert await cursor.fetchall() == [(f"r{number}",)]
        async with connection.transaction():
            with pytest.raises(psycopg.errors.UniqueViolation):
                async with connection.transaction():
                    await connection.execute(insert, (1, "me", "r1"))
            await connection.execute(insert, (30, "me", "r30"))
        async with connection.pipeline():
            cursor = await connection.execute("SELECT count(*) FROM bookings")
            assert await cursor.fetchone() == (21,)


async def test_asyncpg_runs_unmodified(proxy):
    address = proxy.listener.address
    options = {"host": address.host, "port": address.port, "min_size": 1}
    async with asyncpg.create_pool(
        user=USER, database=GROUP, max_size=2, **options
    ) as pool:
        insert = "INSERT INTO bookings (slot, booker, request) VALUES ($1, $2, $3)"
        async with pool.acquire() as connection:
            await connection.execute(insert, 1, "me", "r1")
            rows = [(number, "me", f"r{number}") for number in range(2, 20)]
            await connection.executemany(insert, rows)
        for number in range(1, 20):
            sql = "SELECT request FROM bookings WHERE slot = $1"
            assert await pool.fetchval(sql, number) == f"r{number}"
        async with pool.acquire() as connection:
            with pytest.raises(asyncpg.UniqueViolationError):
                async with connection.transaction():
                    await connection.execute(insert, 30, "me", "r30")
                    await connection.execute(insert, 31, "me", "r30")
            async with connection.transaction(readonly=True):
                cursor = await connection.cursor("SELECT request FROM bookings")
                assert len(await cursor.fetch(5)) == 5
        assert await pool.fetchval("SELECT count(*) FROM bookings") == 19
    await wait_until(lambda: not proxy.sessions)
