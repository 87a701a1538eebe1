import asyncio

import aiohttp
import psycopg
import pytest

from ebonyrack.core.address import Address
from ebonyrack.core.position import LogPosition
from ebonyrack.standins.conftest import INSERT
from ebonyrack.standins.conftest import connect
from ebonyrack.standins.conftest import fetch
from ebonyrack.standins.control import FaultControl
from ebonyrack.standins.group import StandinGroup
from ebonyrack.upstreams.contract import EbonyrackContract
from ebonyrack.upstreams.status import Role

CONTRACT = EbonyrackContract()
WAIT_S = 5.0


async def query(upstream, sql):
    async with await connect(upstream) as connection:
        rows = await fetch(connection, sql)
        return tuple(
            "ft"[item] if isinstance(item, bool) else str(item or "0")
            for item in rows[0]
        )


async def fence_all(group, term, names):
    grants = [
        CONTRACT.parse_grant(await query(group[name], CONTRACT.build_fence(term)))
        for name in names
    ]
    assert all(grant.granted for grant in grants)
    return grants


async def test_replica_applies_the_log_and_rejects_writes(group):
    async with await connect(group["up-1"]) as connection:
        await connection.execute(
            "INSERT INTO bookings (slot, booker, created_at)"
            " VALUES (1, random()::text, now())"
        )
        rows = await fetch(connection, "SELECT * FROM bookings")
        [(position,)] = await fetch(connection, CONTRACT.build_last_commit())
    assert position == "1/2"
    sql = CONTRACT.build_poll(LogPosition(1, 2), 5000)
    status = CONTRACT.parse_status(await query(group["up-2"], sql))
    assert status.applied == status.received == LogPosition(1, 2)
    assert (status.role, status.term) == (Role.REPLICA, 1)
    async with await connect(group["up-2"]) as connection:
        assert await fetch(connection, "SELECT * FROM bookings") == rows
        with pytest.raises(psycopg.errors.ReadOnlySqlTransaction):
            await connection.execute(INSERT, (1, "a", "r-1"))


async def test_lagging_replica_reports_received_ahead_of_applied(group):
    group["up-2"].options.apply_delay_s = 60.0
    async with await connect(group["up-1"]) as connection:
        await connection.execute(INSERT, (1, "a", "r-1"))
    received = CONTRACT.build_poll(LogPosition(1, 2), 5000, received=True)
    status = CONTRACT.parse_status(await query(group["up-2"], received))
    assert status.received == LogPosition(1, 2)
    assert status.applied < status.received


async def test_promotion_keeps_majority_entries_and_drops_the_divergent_tail(group):
    old = group["up-1"]
    async with await connect(old) as connection:
        await connection.execute(INSERT, (1, "kept", "r-1"))
        await group["up-2"].received.wait_for(LogPosition(1, 2), WAIT_S)
        group.cut("up-1", "up-2")
        group.cut("up-1", "up-3")
        await connection.execute(INSERT, (2, "lost", "r-2"))
    assert old.log.last == LogPosition(1, 3)
    await fence_all(group, 5, ("up-2", "up-3"))
    await query(group["up-2"], CONTRACT.build_promote(5))
    async with await connect(group["up-2"]) as connection:
        await connection.execute(INSERT, (3, "new", "r-3"))
    group.heal()
    follow = CONTRACT.build_follow(5, group["up-2"].address)
    await query(old, follow)
    await query(group["up-3"], follow)
    end = group["up-2"].log.last
    assert end.term == 5
    for name in ("up-1", "up-3"):
        assert await group[name].applied.wait_for(end, WAIT_S)
        async with await connect(group[name]) as connection:
            rows = await fetch(connection, "SELECT booker FROM bookings")
            assert [row[0] for row in rows] == ["kept", "new"]
    assert old.log.entries == group["up-2"].log.entries


async def test_fence_ends_open_transactions_and_each_term_is_granted_once(group):
    async with await connect(group["up-1"], autocommit=False) as writer:
        await writer.execute(INSERT, (1, "a", "r-1"))
        sql = CONTRACT.build_fence(3)
        grant = CONTRACT.parse_grant(await query(group["up-1"], sql))
        assert grant.granted and grant.received == LogPosition(1, 1)
        with pytest.raises(psycopg.OperationalError):
            await writer.commit()
    for term in (3, 2):
        sql = CONTRACT.build_fence(term)
        grant = CONTRACT.parse_grant(await query(group["up-1"], sql))
        assert not grant.granted
        assert (grant.fenced_term, grant.received) == (3, LogPosition(1, 1))
    async with await connect(group["up-1"]) as connection:
        with pytest.raises(psycopg.errors.ReadOnlySqlTransaction):
            await connection.execute(INSERT, (1, "a", "r-1"))
        assert await fetch(connection, "SELECT * FROM bookings") == []


async def test_promote_and_follow_reject_lower_terms(group):
    await fence_all(group, 5, ("up-2", "up-3"))
    async with await connect(group["up-2"]) as connection:
        for sql in (
            CONTRACT.build_promote(4),
            CONTRACT.build_follow(4, group["up-1"].address),
        ):
            with pytest.raises(psycopg.Error):
                await connection.execute(sql)
    await query(group["up-2"], CONTRACT.build_promote(5))
    await query(group["up-1"], CONTRACT.build_follow(5, group["up-2"].address))
    # Following a term counts as having granted it.
    grant = await query(group["up-1"], CONTRACT.build_fence(5))
    assert grant[0] == "f"


@pytest.mark.parametrize("kept", [1, 3, 5, 7])
async def test_rebuild_from_a_snapshot_restores_the_state_of_the_log(monkeypatch, kept):
    monkeypatch.setattr("ebonyrack.standins.storage.SNAPSHOT_ENTRIES", 2)
    async with StandinGroup(count=1) as group:
        upstream = group["up-1"]
        async with await connect(upstream) as connection:
            for slot in range(1, 9):
                await connection.execute(INSERT, (slot, "a", f"r-{slot}"))
            upstream.rebuild(kept)
            rows = await fetch(connection, "SELECT slot FROM bookings ORDER BY slot")
        # The first entry starts the term.
        assert [row[0] for row in rows] == list(range(1, kept))
        assert upstream.applied.reached == upstream.log.last == LogPosition(1, kept)


async def test_killed_upstream_keeps_its_log_and_waits_to_follow(group):
    connection = await connect(group["up-1"])
    await connection.execute(INSERT, (1, "a", "r-1"))
    await group.kill("up-1")
    with pytest.raises(psycopg.OperationalError):
        await connection.execute("SELECT 1")
    with pytest.raises(psycopg.OperationalError):
        await connect(group["up-1"])
    await group.restart("up-1")
    async with await connect(group["up-1"]) as connection:
        assert len(await fetch(connection, "SELECT * FROM bookings")) == 1
        with pytest.raises(psycopg.errors.ReadOnlySqlTransaction):
            await connection.execute(INSERT, (2, "a", "r-2"))
    status = CONTRACT.parse_status(
        await query(group["up-1"], CONTRACT.build_poll(LogPosition(0, 0), 0))
    )
    assert status.role is Role.REPLICA


async def test_frozen_upstream_replies_only_after_it_resumes(group, connection):
    group.freeze("up-1")
    pending = asyncio.create_task(fetch(connection, "SELECT 1"))
    async with await connect(group["up-2"]) as other:
        assert await fetch(other, "SELECT 1") == [(1,)]
    assert not pending.done()
    group.resume("up-1")
    assert await pending == [(1,)]


async def test_one_way_cut_delays_the_reply_but_not_the_commit(group, connection):
    group.cut("up-1", "proxies", one_way=True)
    write = asyncio.create_task(connection.execute(INSERT, (1, "a", "r-1")))
    assert await group["up-2"].applied.wait_for(LogPosition(1, 2), WAIT_S)
    assert not write.done()
    group.heal()
    await write


async def test_lost_commit_reply_leaves_the_commit_in_effect(group):
    connection = await connect(group["up-1"])
    group.lose_commit_answers("up-1")
    with pytest.raises(psycopg.OperationalError):
        await connection.execute(INSERT, (1, "a", "r-1"))
    async with await connect(group["up-1"]) as other:
        assert len(await fetch(other, "SELECT * FROM bookings")) == 1


async def test_log_reports_whether_it_holds_an_entry(group):
    for position, held in (("1, 1", "t"), ("1, 2", "f"), ("2, 1", "f")):
        sql = f"SELECT * FROM ebonyrack_holds({position})"
        assert await query(group["up-1"], sql) == (held, "1", "1/1")


async def test_replica_of_a_frozen_primary_reports_silence(group):
    assert group["up-1"].read_status().silence_s is None
    before_s = group["up-2"].last_primary_contact_s
    while group["up-2"].last_primary_contact_s == before_s:
        await asyncio.sleep(0.001)
    group.freeze("up-1")
    while group["up-2"].read_status().silence_s < 0.2:
        await asyncio.sleep(0.01)
    group.resume("up-1")
    while group["up-2"].read_status().silence_s >= 0.2:
        await asyncio.sleep(0.01)


async def test_fault_control_injects_faults_and_reports_status(group):
    control = FaultControl(group, Address("127.0.0.1", 0))
    async with control, aiohttp.ClientSession() as session:
        url = f"http://{control.address}"
        async with session.put(f"{url}/fault/kill", json={"name": "up-1"}) as reply:
            assert reply.status == 200
        async with session.put(f"{url}/fault/burn", json={}) as reply:
            assert reply.status == 400
        body = {"name": "up-2", "apply_delay_s": 0.5}
        async with session.put(f"{url}/fault/options", json=body) as reply:
            assert reply.status == 200
        assert group["up-2"].options.apply_delay_s == 0.5
        assert group["up-3"].options.apply_delay_s == 0.0
        async with session.get(f"{url}/status") as reply:
            assert not (await reply.json())["up-1"]["is_running"]
