"""A change of primary neither loses nor duplicates acknowledged writes of callers."""

import asyncio

import psycopg
import pytest

from ebonyrack.callers.conftest import GROUP
from ebonyrack.callers.conftest import find_error
from ebonyrack.callers.conftest import join_kinds
from ebonyrack.callers.conftest import open_proxy
from ebonyrack.callers.conftest import wait_until
from ebonyrack.config.document import Document
from ebonyrack.upstreams.opening import open_connection

INSERT = "INSERT INTO bookings (slot, booker, request) VALUES (1, 'me', '{}')"
CALLERS = 6
BOOKINGS = 12
RETRY_S = 0.01
LIMITS = {"queue_wait_s": 0.5, "answer_wait_s": 0.5, "confirm_wait_s": 0.5}


async def book(proxy, number, is_keyed, acknowledged):
    """Make bookings, retrying each until its outcome is known.

    Without a key only requests that certainly did not run are retried.
    """
    connection = await proxy.connect()
    for count in range(BOOKINGS):
        request = f"b{number}-{count}"
        while True:
            try:
                if is_keyed:
                    sql = f"SET ebonyrack.idempotency_key = '{request}'"
                    await connection.execute(sql)
                await connection.execute(INSERT.format(request))
            except psycopg.Error as error:
                detail = error.diag.message_detail or ""
                if not is_keyed and detail.startswith("ran=unknown"):
                    break
                assert detail.startswith(("ran=no", "ran=unknown")), error
                await asyncio.sleep(RETRY_S)
                continue
            acknowledged.append(request)
            break
    await connection.close()


async def promote(proxy):
    """Promote a replica as a coordinator does after the loss of the primary."""
    standins = proxy.standins
    survivors = [standins[name] for name in ("up-2", "up-3")]
    for survivor in survivors:
        assert await survivor.fence(2)
    survivors.sort(key=lambda survivor: survivor.log.last)
    await survivors[1].promote(2)
    await survivors[0].follow(2, survivors[1].address)
    return survivors[1].name


@pytest.mark.parametrize("is_keyed", [True, False])
@pytest.mark.parametrize("fault", ["kill", "freeze"])
async def test_acknowledged_bookings_survive_primary_change(fault, is_keyed):
    async with open_proxy(**LIMITS) as proxy:
        standins = proxy.standins
        acknowledged = []
        tasks = [
            asyncio.create_task(book(proxy, number, is_keyed, acknowledged))
            for number in range(CALLERS)
        ]
        await wait_until(lambda: len(acknowledged) > CALLERS * BOOKINGS // 3)
        if fault == "kill":
            await standins.kill("up-1")
        else:
            standins.freeze("up-1")
        new_primary = await promote(proxy)
        await asyncio.gather(*tasks)
        assert proxy.group.primary_name == new_primary
        for request in acknowledged:
            assert proxy.count_rows(new_primary, f"'{request}'") == 1
        if is_keyed:
            assert len(acknowledged) == CALLERS * BOOKINGS


async def test_transaction_on_replaced_primary_does_not_commit():
    async with open_proxy(**LIMITS) as proxy:
        caller = await proxy.start_wire()
        await caller.query("BEGIN")
        await caller.query(INSERT.format("a"))
        assert await proxy.standins["up-1"].fence(2)
        frames = await caller.query(INSERT.format("b"))
        assert find_error(frames)[1].startswith("ran=no")
        assert frames[-1] == (b"Z", b"E")
        await caller.query("COMMIT")
        for name in ("up-1", "up-2", "up-3"):
            assert proxy.count_rows(name, "'a'") == 0


async def test_access_revocation_takes_effect_after_open_transaction(proxy):
    caller = await proxy.start_wire()
    await caller.query("BEGIN")
    services = proxy.listener.services
    groups = services.configuration.document.groups
    services.configuration.document = Document(2, "", groups=groups)
    assert GROUP in groups
    # The open transaction may still finish.
    assert (await caller.query(INSERT.format("a")))[0][0] == b"C"
    assert (await caller.query("COMMIT"))[-1] == (b"Z", b"I")
    caller.send(b"Q\x00\x00\x00\x0dSELECT 1\x00")
    assert b"C42501" in await caller.read_to_end()


async def test_commit_fails_if_no_majority_holds_data_read():
    async with open_proxy(**LIMITS) as proxy:
        caller, reader = [await proxy.start_wire() for _ in range(2)]
        for replica in ("up-2", "up-3"):
            proxy.standins.cut("up-1", replica)
        frames = await caller.query(INSERT.format("a"))
        assert find_error(frames)[1].startswith("ran=unknown")
        await reader.query("BEGIN")
        assert "D" in join_kinds(await reader.query("SELECT request FROM bookings"))
        frames = await reader.query("COMMIT")
        assert find_error(frames)[1].startswith("ran=no kind=position_not_reached")
        assert frames[-1] == (b"Z", b"I")
        proxy.standins.heal()


@pytest.mark.parametrize("begin", ["", "BEGIN READ ONLY"])
async def test_undetected_promotion_exposes_no_unconfirmed_write(begin):
    async with open_proxy(**LIMITS, probe_interval_s=60) as proxy:
        standins = proxy.standins
        connection = await proxy.connect()
        await connection.execute(INSERT.format("confirmed"))
        await standins["up-2"].applied.wait_for(standins["up-1"].log.last, 5.0)
        await proxy.group.upstreams["up-2"].poll()
        cursor = await connection.execute("SHOW ebonyrack.token")
        (token,) = await cursor.fetchone()
        await connection.execute(f"SET ebonyrack.token = '{token}'")
        proxy.group.mark_leaving("up-3", True)
        for name in ("up-2", "up-3"):
            assert await standins[name].fence(2)
        await standins["up-2"].promote(2)
        address = standins["up-2"].address
        direct = await open_connection(address, "ebonyrack", "", "booking", 5.0)
        await direct.query(INSERT.format("unconfirmed"), 5.0)
        direct.close()
        if begin:
            await connection.execute(begin)
            await connection.execute("SELECT request FROM bookings")
            with pytest.raises(psycopg.Error):
                await connection.execute("COMMIT")
        else:
            cursor = await connection.execute("SELECT request FROM bookings")
            assert await cursor.fetchall() == [("confirmed",)]
        await connection.close()
