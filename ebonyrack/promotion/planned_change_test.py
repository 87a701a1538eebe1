"""Planned changes of a primary while upstreams join, leave, restart and go dark."""

import asyncio

import pytest

from ebonyrack.core.tasks import end_tasks
from ebonyrack.standins.line_system import LineCaller
from ebonyrack.standins.line_system import LineSystem

TIMEOUT_S = 12.0


@pytest.fixture(params=[True, False], ids=["fenced", "unfenced"])
async def system(request):
    async with LineSystem(is_promotion_fenced=request.param) as running:
        yield running


@pytest.fixture
async def caller(system):
    address = system.proxies[0].proxy.settings.caller_address
    async with LineCaller(address, "booking") as running:
        yield running


async def wait_for_order(system):
    async with asyncio.timeout(TIMEOUT_S):
        while not system.service.accepted_orders:
            await asyncio.sleep(0.005)


async def test_commits_with_a_replica_that_joins_after_the_order_are_not_lost(
    system, caller
):
    await caller.write_until_complete("slot-1", TIMEOUT_S)
    system.service.promotion_duration_s = 0.4
    system.group.members["up-1"].is_leaving = True
    await wait_for_order(system)
    # Nobody has paused it; the others receive nothing, the candidate included.
    await system.add_upstream("up-4")
    for member_id in ("up-2", "up-3"):
        system.group.members[member_id].is_replication_blocked = True
    await caller.write_until_complete("slot-2", TIMEOUT_S)
    while not system.group.promotions:
        await asyncio.sleep(0.01)
    assert system.group.find_lost_entries() == []
    assert system.group.promotions[0][0] in ("up-2", "up-3")


async def test_order_without_an_answer_is_repeated_with_the_same_token(system, caller):
    await caller.write_until_complete("slot-1", TIMEOUT_S)
    orders = []
    original = system.service.schedule_order

    def record(group, member_id, token, delay_s):
        orders.append((member_id, token))
        # The first one comes after all that follows.
        system.service.faults.late_orders_s = 0.0
        original(group, member_id, token, delay_s)

    system.service.schedule_order = record
    system.service.faults.late_orders_s = 4.0
    system.group.members["up-1"].is_leaving = True
    async with asyncio.timeout(TIMEOUT_S):
        while not system.group.promotions:
            await asyncio.sleep(0.01)
    await caller.write_until_complete("slot-2", TIMEOUT_S)
    assert len(orders) == 2
    assert len(set(orders)) == 1
    assert len(system.group.promotions) == 1
    assert system.group.find_lost_entries() == []


async def test_leaving_primary_is_replaced_while_an_earlier_upstream_is_gone(
    system, caller
):
    await caller.write_until_complete("slot-1", TIMEOUT_S)
    await replace_upstream(system, "up-3", "up-4")
    system.group.members["up-1"].is_leaving = True
    async with asyncio.timeout(TIMEOUT_S):
        while not system.group.promotions:
            await asyncio.sleep(0.01)
    # Its entry is still there; nobody waited until it was removed.
    assert "servers/up-3" in system.service.items
    await caller.write_until_complete("slot-2", TIMEOUT_S)
    assert system.group.find_lost_entries() == []


async def test_lost_primary_is_replaced_while_another_upstream_has_an_address(
    system, caller
):
    await caller.write_until_complete("slot-1", TIMEOUT_S)
    await replace_upstream(system, "up-3", "up-4")
    await system.upstreams["up-1"].stop()
    async with asyncio.timeout(TIMEOUT_S):
        while not system.group.promotions:
            await asyncio.sleep(0.01)
    assert "servers/up-3" in system.service.items
    await caller.write_until_complete("slot-2", TIMEOUT_S)
    assert system.group.find_lost_entries() == []


async def replace_upstream(system, former, successor):
    """Start another upstream with the log and the address of one that has left."""
    upstream = system.upstreams[former]
    await system.publish_entry(upstream)
    await end_tasks([system.publisher_tasks[former]])
    await upstream.stop()
    del system.group.members[former]
    await system.add_upstream(successor, upstream.address)


async def test_primary_leads_again_if_the_platform_refuses_the_order(
    system, caller, monkeypatch
):
    await caller.write_until_complete("slot-1", TIMEOUT_S)
    accept = system.service.accept_token
    refused = []

    def refuse_first(group, token):
        if not refused:
            refused.append(token)
            return False
        return accept(group, token)

    monkeypatch.setattr(system.service, "accept_token", refuse_first)
    system.group.members["up-1"].is_leaving = True
    async with asyncio.timeout(TIMEOUT_S):
        while not system.group.promotions:
            await asyncio.sleep(0.01)
    assert system.group.promotions[0][0] == "up-1"
    await caller.write_until_complete("slot-2", TIMEOUT_S)
    assert system.group.find_lost_entries() == []


async def test_primary_goes_on_while_no_replica_keeps_up(system, caller):
    await caller.write_until_complete("slot-1", TIMEOUT_S)
    system.group.members["up-2"].is_replication_blocked = True
    system.upstreams["up-3"].faults.is_silent = True
    await caller.write_until_complete("slot-2", TIMEOUT_S)
    system.group.members["up-1"].is_leaving = True
    while "promotion" not in str(list(system.service.items)):
        await asyncio.sleep(0.01)
    await asyncio.sleep(1.0)
    assert system.group.members["up-1"].is_primary
    system.group.members["up-2"].is_replication_blocked = False
    system.upstreams["up-3"].faults.is_silent = False
    await caller.write_until_complete("slot-3", TIMEOUT_S)
    async with asyncio.timeout(TIMEOUT_S):
        while not system.group.promotions:
            await asyncio.sleep(0.01)
    assert system.group.find_lost_entries() == []
