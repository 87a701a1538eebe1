"""Connections of an upstream that takes part in a promotion."""

import pytest

from ebonyrack.core.clock import now_s
from ebonyrack.promotion.participant import PromotionParticipant
from ebonyrack.standins.line_system import LineSystem


@pytest.fixture
async def system():
    async with LineSystem() as running:
        yield running


async def test_reconnecting_directly_returns_the_pooled_connection(system):
    group = system.proxies[0].proxy.services.groups["scheduling"]
    member = group.members["up-2"]
    busy_before = len(member.pool.busy)
    link = await member.pool.acquire("test", now_s() + 10.0, account=None)
    participant = PromotionParticipant(member, link, is_pooled=True)
    link.close()
    await participant.connect_directly(10.0)
    assert participant.status is not None
    assert len(member.pool.busy) == busy_before
    participant.close()
    assert len(member.pool.busy) == busy_before
