"""Question to the other proxies before a primary is replaced."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ebonyrack.core.clock import now_s
from ebonyrack.failover.ranking import rank_members
from ebonyrack.peers.link import PeerLostError
from ebonyrack.peers.message import Message
from ebonyrack.peers.primary_messages import AskPrimary
from ebonyrack.peers.primary_messages import HoldWrites
from ebonyrack.peers.primary_messages import PrimaryOpinion
from ebonyrack.peers.primary_messages import PrimarySeen
from ebonyrack.peers.primary_messages import WritesHeld
from ebonyrack.upstreams.connection import UpstreamLostError

if TYPE_CHECKING:
    from ebonyrack.peers.hub import PeerHub
    from ebonyrack.peers.link import PeerLink
    from ebonyrack.peers.membership import Membership
    from ebonyrack.upstreams.group import DatabaseGroup
    from ebonyrack.upstreams.upstream import Upstream

ASK_TIMEOUT_S = 0.15
VOTERS = 4
# A peer takes this long at most to poll the primary afresh before it answers.
FRESH_POLL_S = 0.04
# No peer may make this proxy hold its writes for longer.
LONGEST_HOLD_S = 2.0


@dataclass(frozen=True, slots=True)
class PreVote:
    """Outcome of a pre-vote.

    Attributes:
        granted: Whether a ballot may begin.
        asked: Peers that were asked.
        reached: Peers that answered that they reach the primary.
        unreached: Peers that answered that they don't.
    """

    granted: bool
    asked: int
    reached: int
    unreached: int


async def ask_peers(
    group: DatabaseGroup, hub: PeerHub, membership: Membership, needs_votes: bool
) -> PreVote:
    """Ask other proxies whether they reach the group's primary.

    A ballot is granted if more than half of those who know, this proxy included,
    don't reach it. Without any live peer this proxy decides alone; with live peers
    of which none answers it may be cut off itself, and waits.

    Args:
        group: The group.
        hub: Links to the peers.
        membership: Table of proxies.
        needs_votes: Whether votes count; otherwise only news of a higher term does.

    Returns:
        The outcome. News of a higher term is taken over and grants nothing.
    """
    term = group.term
    own_name = membership.local.name
    names = [member.name for member in membership.live_members()]
    voters = [name for name in rank_members(group.name, names) if name != own_name]
    voters = voters[:VOTERS]
    message = AskPrimary(group.name, group.primary_name or "", term)
    answers = await asyncio.gather(*(ask_peer(hub, name, message) for name in voters))
    opinions = [opinion for opinion in answers if opinion is not None]
    for opinion in opinions:
        group.record_primary(opinion.term, opinion.primary_name)
    reached = sum(opinion.reachable for opinion in opinions)
    unreached = len(opinions) - reached
    if group.term > term:
        granted = False
    elif not needs_votes or not voters:
        granted = True
    else:
        granted = bool(opinions) and unreached + 1 > reached
    return PreVote(granted, len(voters), reached, unreached)


async def ask_peer(
    hub: PeerHub, name: str, message: AskPrimary
) -> PrimaryOpinion | None:
    """Ask one proxy.

    Args:
        hub: Links to the peers.
        name: Name of the proxy.
        message: The question.

    Returns:
        Its opinion, or None if there was no answer in time.
    """
    try:
        reply = await hub.request(name, message, ASK_TIMEOUT_S)
    except PeerLostError:
        return None
    return reply if isinstance(reply, PrimaryOpinion) else None


class OpinionDesk:
    """Answers the other proxies' questions about primaries and takes their news.

    Attributes:
        groups: Database groups by name; the daemon's own table, which may change.
    """

    __slots__ = ("groups",)

    def __init__(self, hub: PeerHub, groups: dict[str, DatabaseGroup]) -> None:
        self.groups = groups
        hub.register_handler(AskPrimary, self.answer)
        hub.register_handler(PrimarySeen, self.take_news)
        hub.register_handler(HoldWrites, self.hold_writes)

    async def answer(self, link: PeerLink, message: AskPrimary) -> Message:
        """Say whether this proxy reaches a group's primary.

        Args:
            link: Link on which the question came.
            message: The question.

        Returns:
            The opinion.
        """
        group = self.groups.get(message.group)
        if group is None:
            return PrimaryOpinion(False, 0, "")
        group.record_primary(message.term, message.primary_name)
        primary = group.upstreams.get(group.primary_name or "")
        reachable = primary is not None and await is_answering(group, primary)
        return PrimaryOpinion(reachable, group.term, group.primary_name or "")

    async def take_news(self, link: PeerLink, message: PrimarySeen) -> None:
        """Take over what a peer says of a primary.

        Args:
            link: Link on which the news came.
            message: The news.
        """
        group = self.groups.get(message.group)
        if group is not None:
            group.record_primary(message.term, message.primary_name)

    async def hold_writes(self, link: PeerLink, message: HoldWrites) -> Message:
        """Let new writes wait while a peer moves the primary.

        Args:
            link: Link on which the request came.
            message: The request.

        Returns:
            Whether no request of this proxy uses the primary any more.
        """
        group = self.groups.get(message.group)
        if group is None or group.term != message.term:
            return WritesHeld(True)
        if message.hold_ms == 0:
            group.release_writes()
            return WritesHeld(True)
        hold_s = min(message.hold_ms / 1000, LONGEST_HOLD_S)
        group.hold_writes(hold_s)
        return WritesHeld(await group.drain_primary(hold_s / 2))


async def is_answering(group: DatabaseGroup, primary: Upstream) -> bool:
    """Tell whether a primary answers this proxy, and not slowly for long.

    Args:
        group: The group.
        primary: Its primary.

    Returns:
        Whether it answers a poll now; if that takes too long, whether it has
        answered within the time after which it would count as lost. One that was
        slow at each poll for `slow_after_s` does not count.
    """
    if primary.state == "lost" or primary.is_slow:
        return False
    try:
        async with asyncio.timeout(FRESH_POLL_S):
            await primary.poll()
    except TimeoutError:
        age_s = now_s() - (primary.answered_at_s or 0.0)
        return age_s < group.section.suspect_after_s
    except UpstreamLostError:
        return False
    return primary.is_primary_in(group.term)
