"""A platform that lets a replaced primary go on as if it led."""

import asyncio

import pytest

from ebonyrack.core.clock import now_s
from ebonyrack.placing.primary_health import PrimaryHealth
from ebonyrack.promotion.result import PromotionResult
from ebonyrack.standins.line_system import LineCaller
from ebonyrack.standins.line_system import LineSystem

TIMEOUT_S = 8.0


@pytest.fixture
async def system():
    async with LineSystem(is_promotion_fenced=False) as running:
        yield running


def get_group(system, proxy=0):
    return system.proxies[proxy].proxy.services.groups["scheduling"]


async def promote_elsewhere(system):
    """Another holder pauses the replicas and promotes up-2; up-1 isn't reached."""
    system.group.isolated.add("up-1")
    for member_id in ("up-2", "up-3"):
        system.group.members[member_id].paused_below_term = 2
    system.group.promote("up-2")
    await system.group.commit(system.group.members["up-2"], (("slot-1", "somchai"),))


async def test_requests_of_all_kinds_are_served(system, connect):
    for database in ("booking", "calendar", "confirmation"):
        caller = await connect(database)
        assert (await caller.execute("READ slot-1"))[0] == "DATAROW none"
    caller = await connect("booking")
    assert (await caller.execute("WRITE slot-1 mali"))[0].startswith("COMPLETE sig")
    assert (await caller.execute("READ slot-1"))[0] == "DATAROW mali"
    await caller.execute("BEGIN")
    assert (await caller.execute("READ slot-1"))[0] == "DATAROW mali"
    assert (await caller.execute("WRITE slot-1 aroon"))[0].startswith("COMPLETE sig")
    assert (await caller.execute("COMMIT"))[0].startswith("COMPLETE sig")


async def test_no_read_is_answered_by_a_primary_that_was_replaced(system, connect):
    caller = await connect("booking")
    await caller.execute("WRITE slot-1 mali")
    await promote_elsewhere(system)
    assert system.group.members["up-1"].is_primary
    for _ in range(5):
        answer = await caller.execute("READ slot-1")
        assert answer[0] == "DATAROW somchai" or answer[0].startswith("ERROR BUSY")
    while (await caller.execute("READ slot-1"))[0] != "DATAROW somchai":
        await asyncio.sleep(0.05)


async def test_no_transaction_reads_at_a_primary_that_was_replaced(system, connect):
    caller = await connect("booking")
    await caller.execute("WRITE slot-1 mali")
    await promote_elsewhere(system)
    await caller.execute("BEGIN")
    answer = await caller.execute("READ slot-1")
    assert answer[0] == "DATAROW somchai" or answer[0].startswith("ERROR BUSY")


async def test_positions_of_a_replaced_primary_count_for_no_age(system, connect):
    reader = await connect("calendar")
    caller = await connect("booking")
    await caller.execute("WRITE slot-1 mali")
    await promote_elsewhere(system)
    # Reads of a stated age may be 1.5 s old.
    await asyncio.sleep(1.6)
    for _ in range(20):
        answer = await reader.execute("READ slot-1")
        assert answer[0] == "DATAROW somchai" or answer[0].startswith("ERROR BUSY")
        await asyncio.sleep(0.02)


async def test_read_is_refused_at_once_without_a_reachable_replica(system, connect):
    caller = await connect("booking")
    await caller.execute("WRITE slot-1 mali")
    for member_id in ("up-2", "up-3"):
        system.upstreams[member_id].faults.is_silent = True
    started_s = now_s()
    answer = await caller.execute("READ slot-1")
    assert answer[0].startswith("ERROR BUSY")
    assert now_s() - started_s < 0.5


async def test_read_waits_for_no_silent_replica(system, connect):
    caller = await connect("booking")
    await caller.execute("WRITE slot-1 mali")
    system.upstreams["up-2"].faults.is_silent = True
    for _ in range(5):
        started_s = now_s()
        assert (await caller.execute("READ slot-1"))[0] == "DATAROW mali"
        assert now_s() - started_s < 0.2


async def test_every_replica_is_paused_before_an_order(system, connect, monkeypatch):
    caller = await connect("booking")
    await caller.execute("WRITE slot-1 mali")
    paused = []
    promote = system.group.promote

    def record(member_id):
        paused.append(
            {
                member.member_id
                for member in system.group.members.values()
                if member.paused_below_term > member.term
            }
        )
        promote(member_id)

    monkeypatch.setattr(type(system.group), "promote", lambda self, name: record(name))
    await system.upstreams["up-1"].stop()
    await caller.write_until_complete("slot-x", TIMEOUT_S)
    assert paused[0] == {"up-2", "up-3"}
    assert system.group.find_lost_entries() == []


async def test_replaced_primary_is_told_to_step_down(system, connect):
    caller = await connect("booking")
    await caller.execute("WRITE slot-1 mali")
    promoter = system.proxies[0].proxy.primary_monitors["scheduling"].promoter
    # It replies, but commits don't complete.
    assert await promoter.run(PrimaryHealth.STALLED) is PromotionResult.PROMOTED
    # It would go on for another second by itself.
    assert not system.group.members["up-1"].is_primary
    assert system.group.promotions[0][0] != "up-1"
    await caller.write_until_complete("slot-x", TIMEOUT_S)
    assert system.group.find_lost_entries() == []


async def test_leaving_primary_steps_down_before_another_is_promoted(
    system, connect, monkeypatch
):
    caller = await connect("booking")
    await caller.execute("WRITE slot-1 mali")
    leads = []
    promote = system.group.promote

    def record(member_id):
        leads.append(system.group.members["up-1"].is_primary)
        promote(member_id)

    monkeypatch.setattr(type(system.group), "promote", lambda self, name: record(name))
    system.group.members["up-1"].is_leaving = True
    async with asyncio.timeout(TIMEOUT_S):
        while not system.group.promotions:
            await asyncio.sleep(0.02)
    assert leads == [False]
    assert system.group.promotions[0][0] != "up-1"
    await caller.write_until_complete("slot-x", TIMEOUT_S)
    assert system.group.find_lost_entries() == []


async def test_change_that_another_proxy_abandoned_is_completed(system, connect):
    caller = await connect("booking")
    await caller.execute("WRITE slot-1 mali")
    for member_id in ("up-2", "up-3"):
        system.group.members[member_id].paused_below_term = 2
    # Nothing is sent to the primary, where it could not be acknowledged.
    await caller.execute("READ slot-1")
    answer = await caller.execute("WRITE slot-1 aroon")
    assert answer[0].startswith("ERROR BUSY")
    assert not [each for each in system.group.records if "aroon" in each.text]
    await caller.write_until_complete("slot-x", TIMEOUT_S)
    assert system.group.find_lost_entries() == []


async def test_proxies_agree_on_one_new_primary(system):
    await system.add_proxy("proxy-1")
    await system.add_proxy("proxy-2")
    callers = []
    for proxy in system.proxies:
        callers.append(LineCaller(proxy.proxy.settings.caller_address, "booking"))
        await callers[-1].start()
    await callers[0].execute("WRITE slot-1 mali")
    await system.upstreams["up-1"].stop()
    await asyncio.gather(
        *(
            caller.write_until_complete(f"s{n}", TIMEOUT_S)
            for n, caller in enumerate(callers)
        )
    )
    assert len(system.group.promotions) == 1
    assert system.group.find_lost_entries() == []
    assert system.service.lower_tokens == []
    for caller in callers:
        await caller.stop()
