"""Changes of primary step by step, over real connections to stand-in upstreams."""

import asyncio

import pytest

from ebonyrack.placing.primary_health import PrimaryHealth
from ebonyrack.promotion.participant import PromotionParticipant
from ebonyrack.promotion.primary_proof import is_serving_primary
from ebonyrack.promotion.result import PromotionResult
from ebonyrack.standins.line_system import LineCaller
from ebonyrack.standins.line_system import LineSystem


@pytest.fixture
async def system():
    async with LineSystem() as running:
        yield running


def get_promoter(system):
    return system.proxies[0].proxy.primary_monitors["scheduling"].promoter


async def write(system, count):
    address = system.proxies[0].proxy.settings.caller_address
    async with LineCaller(address, "booking") as caller:
        for number in range(count):
            answer = await caller.execute(f"WRITE slot-{number} mali")
            assert answer[0].startswith("COMPLETE")


async def test_primary_that_still_serves_is_recorded_with_its_current_position(system):
    promoter = get_promoter(system)
    participant = PromotionParticipant(promoter.group.members["up-1"])
    await participant.connect()
    # Another caller writes between the status and the proof.
    await write(system, 3)
    promoter.group.position_history.clear()
    assert await is_serving_primary(promoter.group, participant)
    participant.close()
    newest = promoter.group.position_history.samples[-1].position
    assert newest == system.group.members["up-1"].received_position


async def test_replicas_stay_paused_while_an_accepted_order_may_still_be_carried_out(
    system, monkeypatch
):
    monkeypatch.setattr("ebonyrack.promotion.promoter.PRIMARY_WAIT_S", 0.2)
    await write(system, 3)
    system.service.promotion_duration_s = 60.0
    result = await get_promoter(system).run(PrimaryHealth.LEAVING)
    assert result is PromotionResult.NOT_PRIMARY
    assert any(member.paused_below_term for member in system.group.members.values())


async def test_replicas_resume_after_an_order_that_was_not_accepted(
    system, monkeypatch
):
    await write(system, 3)
    promoter = get_promoter(system)
    original = promoter.send_order

    async def refuse(*arguments):
        system.service.faults.status = 503
        try:
            return await original(*arguments)
        finally:
            system.service.faults.status = 0

    monkeypatch.setattr(type(promoter), "send_order", lambda self, *rest: refuse(*rest))
    assert await promoter.run(PrimaryHealth.LEAVING) is PromotionResult.NOT_ACCEPTED
    assert not any(member.paused_below_term for member in system.group.members.values())


async def test_healthy_primary_that_seems_silent_is_not_replaced(system):
    await write(system, 1)
    assert (
        await get_promoter(system).run(PrimaryHealth.SILENT)
        is PromotionResult.NOT_NEEDED
    )
    assert system.group.promotions == []


async def test_recovered_primary_ends_the_wait_for_a_silent_replica(system):
    # An overloaded primary replies too late while a replica is down. No candidate is
    # safe without that replica's reply, so the lease would be held in vain.
    await write(system, 1)
    for member_id in ("up-1", "up-3"):
        system.upstreams[member_id].faults.is_silent = True
    running = asyncio.create_task(get_promoter(system).run(PrimaryHealth.SILENT))
    await asyncio.sleep(1.0)
    assert not running.done()
    system.upstreams["up-1"].faults.is_silent = False
    assert await running is PromotionResult.NOT_NEEDED
    assert not any(member.paused_below_term for member in system.group.members.values())


async def test_pause_by_an_earlier_lease_holder_is_not_resumed(system):
    # Its order may still be carried out, or was while this replica was cut off.
    promoter = get_promoter(system)
    participant = PromotionParticipant(promoter.group.members["up-2"])
    system.group.members["up-2"].paused_below_term = 5
    await participant.connect()
    await participant.pause(6)
    await participant.resume()
    assert system.group.members["up-2"].paused_below_term == 6
    participant.close()


async def test_pause_by_a_later_lease_holder_is_not_resumed(system):
    promoter = get_promoter(system)
    participant = PromotionParticipant(promoter.group.members["up-2"])
    await participant.connect()
    await participant.pause(5)
    system.group.members["up-2"].paused_below_term = 6
    await participant.resume()
    assert system.group.members["up-2"].paused_below_term == 6
    system.group.members["up-2"].paused_below_term = 5
    await participant.resume()
    assert system.group.members["up-2"].paused_below_term == 0
    participant.close()


async def test_attempt_that_a_shutdown_ends_leaves_no_pause(system):
    # Commits would wait for the paused replica after another one is lost.
    await system.add_upstream("up-4")
    await write(system, 1)
    promoter = get_promoter(system)
    while "up-4" not in promoter.group.members:
        await asyncio.sleep(0.01)
    system.upstreams["up-3"].faults.is_silent = True
    running = asyncio.create_task(promoter.run(PrimaryHealth.STALLED))
    async with asyncio.timeout(2.0):
        while not any(each.paused_below_term for each in system.group.members.values()):
            await asyncio.sleep(0.01)
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    assert not any(each.paused_below_term for each in system.group.members.values())
    assert system.group.promotions == []


async def test_stalled_primary_leads_again_if_the_platform_refuses_the_order(
    system, monkeypatch
):
    # It had stepped down, and nobody led until another holder came.
    await write(system, 1)
    accept = system.service.accept_token
    refused = []

    def refuse_first(group, token):
        if not refused:
            refused.append(token)
            return False
        return accept(group, token)

    monkeypatch.setattr(system.service, "accept_token", refuse_first)
    result = await get_promoter(system).run(PrimaryHealth.STALLED)
    assert result is PromotionResult.PROMOTED
    assert [name for name, _ in system.group.promotions] == ["up-1"]
    await write(system, 1)
    assert system.group.find_lost_entries() == []
