"""Changes of primary step by step, over real connections to stand-ins."""

import asyncio

import pytest

from ebonyrack.placing.primary_health import PrimaryHealth
from ebonyrack.promotion.participant import PromotionParticipant
from ebonyrack.promotion.promoter import PromotionResult
from ebonyrack.standins.line_system import LineCaller
from ebonyrack.standins.line_system import LineSystem


@pytest.fixture
async def system():
    async with LineSystem() as running:
        yield running


def get_promoter(system):
    return system.proxies[0].proxy.watches["scheduling"].promoter


async def write(system, count):
    address = system.proxies[0].proxy.settings.caller_address
    async with LineCaller(address, "booking") as caller:
        for number in range(count):
            answer = await caller.ask(f"WRITE slot-{number} mali")
            assert answer[0].startswith("COMPLETE")


async def test_a_primary_that_leads_after_all_gives_a_position_of_that_time(system):
    promoter = get_promoter(system)
    participant = PromotionParticipant(promoter.group.members["up-1"])
    await participant.connect()
    # Other proxies go on writing between the status and the proof.
    await write(system, 3)
    promoter.group.position_history.clear()
    assert await promoter.is_serving_primary(participant)
    participant.close()
    newest = promoter.group.position_history.samples[-1].position
    assert newest == system.group.members["up-1"].received


async def test_replicas_stay_paused_while_an_accepted_order_may_still_be_carried_out(
    system, monkeypatch
):
    monkeypatch.setattr("ebonyrack.promotion.promoter.PRIMARY_WAIT_S", 0.2)
    await write(system, 3)
    system.service.promote_s = 60.0
    result = await get_promoter(system).run(PrimaryHealth.LEAVING)
    assert result is PromotionResult.NOT_PRIMARY
    assert any(member.held_term for member in system.group.members.values())


async def test_replicas_receive_again_after_an_order_that_was_surely_not_taken(
    system, monkeypatch
):
    await write(system, 3)
    promoter = get_promoter(system)
    original = promoter.send_order

    async def refuse(lease, chosen):
        system.service.faults.status = 503
        try:
            return await original(lease, chosen)
        finally:
            system.service.faults.status = 0

    monkeypatch.setattr(type(promoter), "send_order", lambda self, *rest: refuse(*rest))
    assert await promoter.run(PrimaryHealth.LEAVING) is PromotionResult.NOT_ACCEPTED
    assert not any(member.held_term for member in system.group.members.values())


async def test_a_healthy_primary_is_not_replaced_for_one_suspicion(system):
    await write(system, 1)
    assert (
        await get_promoter(system).run(PrimaryHealth.SILENT)
        is PromotionResult.NOT_NEEDED
    )
    assert system.group.promotions == []


async def test_a_primary_that_comes_back_ends_the_wait_for_a_silent_replica(system):
    # A crowded primary answered too late, while a replica is down: without its answer
    # no successor is safe, and the duty was held for nothing.
    await write(system, 1)
    for member_id in ("up-1", "up-3"):
        system.upstreams[member_id].faults.is_silent = True
    running = asyncio.create_task(get_promoter(system).run(PrimaryHealth.SILENT))
    await asyncio.sleep(1.0)
    assert not running.done()
    system.upstreams["up-1"].faults.is_silent = False
    assert await running is PromotionResult.NOT_NEEDED
    assert not any(member.held_term for member in system.group.members.values())


async def test_a_pause_of_a_later_holder_is_not_lifted(system):
    promoter = get_promoter(system)
    participant = PromotionParticipant(promoter.group.members["up-2"])
    await participant.connect()
    await participant.pause(5)
    system.group.members["up-2"].held_term = 6
    await participant.resume()
    assert system.group.members["up-2"].held_term == 6
    system.group.members["up-2"].held_term = 5
    await participant.resume()
    assert system.group.members["up-2"].held_term == 0
    participant.close()
