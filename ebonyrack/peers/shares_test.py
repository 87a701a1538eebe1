from dataclasses import replace

import pytest

from ebonyrack.core.address import Address
from ebonyrack.peers import shares as shares_module
from ebonyrack.peers.hub_test import build_settings
from ebonyrack.peers.hub_test import wait_until
from ebonyrack.peers.member import Member
from ebonyrack.peers.member import MemberState
from ebonyrack.peers.membership import Membership
from ebonyrack.peers.shares import ShareCount


def build_member(number, state=MemberState.ALIVE):
    address = Address("127.0.0.1", 1000 + number)
    return Member(f"peer-{number}", address, "bangkok-1", "default", 1, state)


@pytest.fixture
def membership():
    made = Membership(build_settings("own").proxy, Address("127.0.0.1", 1))
    for number in range(4):
        made.merge(build_member(number))
    return made


def declare_lost(shares, membership, number, age_s=0.0):
    membership.declare_dead(f"peer-{number}")
    shares.lost_at_s[f"peer-{number}"] -= age_s


async def test_lost_proxy_counts_until_its_share_is_released(membership):
    async with ShareCount(membership) as shares:
        assert shares.count() == 5
        declare_lost(shares, membership, 0)
        assert shares.count() == 5
        shares.lost_at_s["peer-0"] -= shares_module.LOST_SHARE_HOLD_S
        assert shares.count() == 4


async def test_leaving_proxy_is_not_counted(membership):
    async with ShareCount(membership) as shares:
        leaving = replace(build_member(0, MemberState.LEAVING), incarnation=2)
        membership.merge(leaving)
        assert shares.count() == 4
        membership.declare_dead("peer-0")
        assert shares.count() == 4


async def test_proxy_that_lost_most_others_leaves_half_of_the_shares(membership):
    async with ShareCount(membership) as shares:
        for number in range(4):
            declare_lost(
                shares, membership, number, age_s=shares_module.LOST_SHARE_HOLD_S
            )
        assert len(membership.live_members()) == 1
        assert shares.count() == 3
        for name in shares.lost_at_s:
            shares.lost_at_s[name] -= shares_module.LOST_PROXY_RETENTION_S
        assert shares.count() == 1


async def test_returning_proxy_is_counted_again(membership):
    async with ShareCount(membership) as shares:
        declare_lost(shares, membership, 0, age_s=shares_module.LOST_SHARE_HOLD_S)
        membership.merge(replace(build_member(0), incarnation=2))
        assert shares.count() == 5
        assert shares.lost_at_s == {}


async def test_released_share_is_reported(membership, monkeypatch):
    monkeypatch.setattr(shares_module, "LOST_SHARE_HOLD_S", 0.01)
    reported = []
    async with ShareCount(membership) as shares:
        shares.subscribe(lambda: reported.append(shares.count()))
        membership.declare_dead("peer-0")
        await wait_until(lambda: reported)
    assert reported == [4]
