"""Connections of a pool that belong to client accounts."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from ebonyrack.core.address import Address
from ebonyrack.core.clock import now_s
from ebonyrack.core.errors import RequestError
from ebonyrack.members.member import MemberQueueSettings
from ebonyrack.pooling.fair_order import WorkTerms
from ebonyrack.pooling.pool import Pool

LIMIT = 3
WAIT_S = 20.0
ACCOUNTS = st.sampled_from(["", "haulier", "buyer", "clerk", "agent"])


class FakeConnection:
    def __init__(self, account):
        self.account = account
        self.is_clean = True
        self.is_idle_in_transaction = False

    def close(self):
        self.is_clean = False


class FakeUpstream:
    """Counts the connections that were opened, by account."""

    def __init__(self):
        self.opened = []
        self.pool = Pool(
            Address("127.0.0.1", 1), MemberQueueSettings(), LIMIT, self.connect
        )

    async def connect(self, timeout_s, account):
        connection = FakeConnection(account)
        self.opened.append(connection)
        return connection

    async def acquire(self, account):
        return await self.pool.acquire("database", now_s() + WAIT_S, account)

    async def use(self, account):
        connection = await self.acquire(account)
        self.pool.release(connection)
        return connection


async def test_account_uses_its_own_connections_only():
    upstream = FakeUpstream()
    first = await upstream.use("haulier")
    second = await upstream.use("buyer")
    assert first is not second
    assert await upstream.use("haulier") is first
    assert [each.account for each in upstream.opened] == ["haulier", "buyer"]


async def test_least_recently_used_connection_makes_room_for_another_account():
    upstream = FakeUpstream()
    for account in ("haulier", "buyer", "clerk", "haulier", "agent"):
        await upstream.use(account)
    assert [each.account for each in upstream.pool.idle] == [
        "clerk",
        "haulier",
        "agent",
    ]
    assert [each.account for each in upstream.opened if not each.is_clean] == ["buyer"]


async def test_own_request_uses_the_connection_of_any_account():
    upstream = FakeUpstream()
    await upstream.use("haulier")
    assert (await upstream.use(None)).account == "haulier"
    assert len(upstream.opened) == 1


async def test_account_waits_while_others_use_all_connections():
    upstream = FakeUpstream()
    held = [await upstream.acquire("haulier") for _ in range(LIMIT)]
    waiting = asyncio.create_task(upstream.acquire("buyer"))
    await asyncio.sleep(0)
    assert not waiting.done()
    upstream.pool.release(held[0])
    assert (await waiting).account == "buyer"
    assert not held[0].is_clean


async def test_work_of_a_caller_that_left_takes_no_connection():
    upstream = FakeUpstream()
    held = [await upstream.acquire("haulier") for _ in range(LIMIT)]
    terms = WorkTerms(has_left=lambda: True)
    left = asyncio.create_task(
        upstream.pool.acquire("buyer", now_s() + WAIT_S, "buyer", terms)
    )
    staying = asyncio.create_task(upstream.acquire("clerk"))
    await let_tasks_run()
    upstream.pool.release(held[0])
    await let_tasks_run()
    assert staying.result().account == "clerk"
    with pytest.raises(RequestError):
        await left


async def test_long_transactions_do_not_make_statements_look_late():
    upstream = FakeUpstream()
    pool, terms = upstream.pool, WorkTerms(begins_transaction=True)
    for _ in range(50):
        held = await pool.acquire("haulier", now_s() + WAIT_S, "haulier", terms)
        pool.busy[held] -= 1.0
        pool.release(held)
        await upstream.use("buyer")
    held = [await upstream.acquire("haulier") for _ in range(LIMIT)]
    waiting = asyncio.create_task(pool.acquire("buyer", now_s() + 0.2, "buyer"))
    await let_tasks_run()
    assert not waiting.done()
    pool.release(held[0])
    assert (await waiting).account == "buyer"


async def let_tasks_run():
    for _ in range(10):
        await asyncio.sleep(0)


@settings(deadline=None)
@given(st.lists(st.tuples(ACCOUNTS | st.none(), st.booleans()), max_size=40))
def test_connections_never_change_accounts(steps):
    asyncio.run(check_connections_never_change_accounts(steps))


async def check_connections_never_change_accounts(steps):
    upstream = FakeUpstream()
    held = []
    for account, is_released_at_once in steps:
        waiting = asyncio.create_task(upstream.acquire(account))
        await let_tasks_run()
        if not waiting.done():
            upstream.pool.release(held.pop(0))
            await let_tasks_run()
        connection = waiting.result()
        assert account is None or connection.account == account
        assert connection not in held
        assert upstream.pool.open_count <= LIMIT
        assert sum(each.is_clean for each in upstream.opened) <= LIMIT
        if is_released_at_once:
            upstream.pool.release(connection)
        else:
            held.append(connection)
