"""Orders without a response on a platform that carries out every order."""

import asyncio

import pytest

from ebonyrack.core.clock import boot_time_s
from ebonyrack.core.position import LogPosition
from ebonyrack.placing.promotion_candidate import CommitEvidence
from ebonyrack.placing.promotion_candidate import ReplicaState
from ebonyrack.placing.promotion_candidate import is_safe_candidate
from ebonyrack.promotion import open_order
from ebonyrack.standins.line_system import LineCaller
from ebonyrack.standins.line_system import LineSystem

TIMEOUT_S = 12.0
RECORD = "ebonyrack/orders/scheduling"


@pytest.fixture
async def system():
    async with LineSystem(is_promotion_fenced=False) as running:
        yield running


@pytest.fixture
async def caller(system):
    address = system.proxies[0].proxy.settings.caller_address
    async with LineCaller(address, "booking") as running:
        yield running


async def test_no_other_upstream_is_promoted_while_an_order_may_come(system, caller):
    await caller.write_until_complete("slot-1", TIMEOUT_S)
    system.service.faults.late_orders_s = 4.0
    await system.upstreams["up-1"].stop()
    while RECORD not in system.service.items:
        await asyncio.sleep(0.02)
    ordered = system.service.items[RECORD].value.split()[0].decode()
    await asyncio.sleep(0.7)
    other = next(name for name in system.upstreams if name not in ("up-1", ordered))
    # The other replica seems better now, and the ordered one can't be reached, so that
    # its order isn't repeated any more.
    system.upstreams[ordered].faults.is_silent = True
    await asyncio.sleep(0.7)
    system.service.faults.late_orders_s = 0.0
    await asyncio.sleep(1.5)
    assert system.group.promotions == []
    system.upstreams[ordered].faults.is_silent = False
    await caller.write_until_complete("slot-2", TIMEOUT_S)
    await asyncio.sleep(1.5)
    assert {name for name, _ in system.group.promotions} == {ordered}
    assert other not in {name for name, _ in system.group.promotions}
    assert system.group.find_lost_entries() == []


async def test_record_of_an_answered_order_is_deleted(system, caller):
    await caller.write_until_complete("slot-1", TIMEOUT_S)
    await system.upstreams["up-1"].stop()
    await caller.write_until_complete("slot-2", TIMEOUT_S)
    async with asyncio.timeout(TIMEOUT_S):
        while RECORD in system.service.items:
            await asyncio.sleep(0.02)
    assert len(system.group.promotions) == 1


async def test_record_of_an_unanswered_order_is_deleted_in_the_end(
    system, caller, monkeypatch
):
    # It would make the next holder wait although the order can't come any more.
    monkeypatch.setattr(open_order, "LATE_ORDER_LIMIT_S", 1.0)
    await caller.write_until_complete("slot-1", TIMEOUT_S)
    system.service.faults.late_orders_s = 0.3
    await system.upstreams["up-1"].stop()
    await caller.write_until_complete("slot-2", TIMEOUT_S)
    assert RECORD in system.service.items
    async with asyncio.timeout(TIMEOUT_S):
        while RECORD in system.service.items:
            await asyncio.sleep(0.02)


async def test_order_that_never_comes_blocks_others_for_a_limited_time(
    system, caller, monkeypatch
):
    monkeypatch.setattr(open_order, "LATE_ORDER_LIMIT_S", 1.0)
    await caller.write_until_complete("slot-1", TIMEOUT_S)
    await system.service.put(RECORD, b"up-9 1")
    await system.upstreams["up-1"].stop()
    await caller.write_until_complete("slot-2", TIMEOUT_S)
    assert system.group.find_lost_entries() == []


async def test_no_order_is_sent_while_a_restored_store_may_have_lost_the_record(
    system, caller, monkeypatch
):
    # Longer than a holder of the promotion lease may be forgotten.
    monkeypatch.setattr(open_order, "LATE_ORDER_LIMIT_S", 6.0)
    proxy = system.proxies[0]
    record = proxy.proxy.primary_monitors["scheduling"].promoter.open_order
    await caller.write_until_complete("slot-1", TIMEOUT_S)
    system.service.take_copy()
    assert await record.write("up-3", 1)
    await system.service.restore_copy()
    assert RECORD not in system.service.items
    async with asyncio.timeout(TIMEOUT_S):
        while proxy.store.generation == 1:
            await asyncio.sleep(0.02)
    await system.upstreams["up-1"].stop()
    while boot_time_s() < proxy.store.generation_seen_s + 5.8:
        assert system.group.promotions == []
        await asyncio.sleep(0.05)
    await caller.write_until_complete("slot-2", TIMEOUT_S)
    assert system.group.find_lost_entries() == []


async def test_repeated_order_is_awaited_from_its_last_sending(system, monkeypatch):
    record = system.proxies[0].proxy.primary_monitors["scheduling"].promoter.open_order
    assert await record.write("up-2", 1)
    record.seen_at_s -= open_order.LATE_ORDER_LIMIT_S
    assert record.awaited is None
    assert await record.write("up-2", 1)
    assert record.awaited is not None


async def test_record_by_another_writer_is_no_order_to_a_known_upstream(system):
    promoter = system.proxies[0].proxy.primary_monitors["scheduling"].promoter
    await system.service.put(RECORD, b"\xff\xfe")
    found = await promoter.open_order.read()
    assert found.ok_value.fencing_token == 0


async def test_replica_that_returns_while_an_order_is_open_is_paused(system, caller):
    await caller.write_until_complete("slot-1", TIMEOUT_S)
    system.service.faults.late_orders_s = 1.5
    await system.upstreams["up-1"].stop()
    while RECORD not in system.service.items:
        await asyncio.sleep(0.01)
    ordered = system.service.items[RECORD].value.split()[0].decode()
    other = next(name for name in system.upstreams if name not in ("up-1", ordered))
    # It restarts, which ends its pause.
    await system.upstreams[other].stop()
    system.group.members[other].paused_below_term = 0
    await system.upstreams[other].start()
    await asyncio.sleep(0.3)
    assert system.group.members[other].paused_below_term > 1
    await caller.write_until_complete("slot-2", TIMEOUT_S)
    assert system.group.find_lost_entries() == []


def test_candidate_without_a_commit_known_to_be_acknowledged_is_not_safe():
    # The replica that received the commits is dark and its entry is gone; the other
    # one has received nothing since term 1. The primary still lives.
    state = ReplicaState("up-2", LogPosition(1, 44), True, False)
    assert is_safe_candidate("up-2", [state], 1)
    assert not is_safe_candidate("up-2", [state], 1, CommitEvidence(LogPosition(2, 57)))
    assert is_safe_candidate("up-2", [state], 1, CommitEvidence(LogPosition(1, 44)))
