"""Pre-vote among the proxies before a primary is replaced."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ebonyrack.core.clock import now_s
from ebonyrack.failover.ranking import rank_members
from ebonyrack.peers.message import Message
from ebonyrack.peers.primary_messages import AskPrimary
from ebonyrack.peers.primary_messages import HoldWrites
from ebonyrack.peers.primary_messages import PrimaryOpinion
from ebonyrack.peers.primary_messages import PrimarySeen
from ebonyrack.peers.primary_messages import WritesHeld
from ebonyrack.peers.request_link import PeerLostError
from ebonyrack.upstreams.connection import UpstreamLostError

if TYPE_CHECKING:
    from ebonyrack.peers.hub import PeerHub
    from ebonyrack.peers.link import PeerLink
    from ebonyrack.peers.membership import Membership
    from ebonyrack.upstreams.group import DatabaseGroup
    from ebonyrack.upstreams.upstream import Upstream

PEER_TIMEOUT_S = 0.15
MAXIMUM_VOTERS = 4
# Limit on a peer's fresh poll of the primary before it replies.
POLL_TIMEOUT_S = 0.04
# Limit on the time for which a peer can make this proxy hold writes.
MAXIMUM_HOLD_S = 2.0


@dataclass(frozen=True, slots=True)
class PreVote:
    """Result of a pre-vote.

    Attributes:
        granted: Whether a ballot may begin.
        asked: Number of peers that were asked.
        reached: Number of peers that reported that they reach the primary.
        unreached: Number of peers that reported that they don't.
    """

    granted: bool
    asked: int
    reached: int
    unreached: int


async def collect_votes(
    group: DatabaseGroup, hub: PeerHub, membership: Membership, needs_votes: bool
) -> PreVote:
    """Ask other proxies whether they reach the group's primary.

    A ballot is granted if more than half of those that replied, counting this proxy,
    can't reach it. Without live peers this proxy decides alone. If there are live
    peers but none replies, this proxy may be cut off itself and must wait.

    Args:
        group: The group.
        hub: Links to the peers.
        membership: Membership table of the proxies.
        needs_votes: Whether votes decide; otherwise only a higher term prevents the
            ballot.

    Returns:
        The result. A higher term that a peer reports is recorded in the group and
        denies the ballot.
    """
    term = group.term
    local_name = membership.local.name
    names = [member.name for member in membership.live_members()]
    voters = [name for name in rank_members(group.name, names) if name != local_name]
    voters = voters[:MAXIMUM_VOTERS]
    message = AskPrimary(group.name, group.primary_name or "", term)
    replies = await asyncio.gather(
        *(request_vote(hub, name, message) for name in voters)
    )
    opinions = [opinion for opinion in replies if opinion is not None]
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


async def request_vote(
    hub: PeerHub, name: str, message: AskPrimary
) -> PrimaryOpinion | None:
    """Request the vote of one proxy.

    Args:
        hub: Links to the peers.
        name: Name of the proxy.
        message: The request.

    Returns:
        Its reply, or None if there was none in time.
    """
    try:
        reply = await hub.request(name, message, PEER_TIMEOUT_S)
    except PeerLostError:
        return None
    return reply if isinstance(reply, PrimaryOpinion) else None


class PrimaryMessageHandler:
    """Handles the messages of other proxies about primaries.

    Attributes:
        groups: Database groups by name; shared with the proxy, which changes it.
    """

    __slots__ = ("groups",)

    def __init__(self, hub: PeerHub, groups: dict[str, DatabaseGroup]) -> None:
        self.groups = groups
        hub.register_handler(AskPrimary, self.handle_ask_primary)
        hub.register_handler(PrimarySeen, self.handle_primary_seen)
        hub.register_handler(HoldWrites, self.handle_hold_writes)

    async def handle_ask_primary(self, link: PeerLink, message: AskPrimary) -> Message:
        """Reply whether this proxy reaches a group's primary.

        Args:
            link: Link on which the request arrived.
            message: The request.

        Returns:
            The reply.
        """
        group = self.groups.get(message.group)
        if group is None:
            return PrimaryOpinion(False, 0, "")
        group.record_primary(message.term, message.primary_name)
        primary = group.upstreams.get(group.primary_name or "")
        reachable = primary is not None and await is_primary_reachable(group, primary)
        return PrimaryOpinion(reachable, group.term, group.primary_name or "")

    async def handle_primary_seen(self, link: PeerLink, message: PrimarySeen) -> None:
        """Record a primary that a peer announced.

        Args:
            link: Link on which the announcement arrived.
            message: The announcement.
        """
        group = self.groups.get(message.group)
        if group is not None:
            group.record_primary(message.term, message.primary_name)

    async def handle_hold_writes(self, link: PeerLink, message: HoldWrites) -> Message:
        """Hold new writes while a peer moves the primary.

        Args:
            link: Link on which the request arrived.
            message: The request.

        Returns:
            Whether all requests of this proxy on the primary have finished.
        """
        group = self.groups.get(message.group)
        if group is None or group.term != message.term:
            return WritesHeld(True)
        if message.hold_ms == 0:
            group.release_writes()
            return WritesHeld(True)
        hold_s = min(message.hold_ms / 1000, MAXIMUM_HOLD_S)
        group.hold_writes(hold_s)
        return WritesHeld(await group.drain_primary(hold_s / 2))


async def is_primary_reachable(group: DatabaseGroup, primary: Upstream) -> bool:
    """Check whether a primary answers this proxy and is not slow.

    Args:
        group: The group.
        primary: Its primary.

    Returns:
        Whether it answers a poll now or, if the poll times out, has answered within
        the last `suspect_after_s`. A primary that was slow at every poll for
        `slow_after_s` counts as not reachable.
    """
    if primary.state == "lost" or primary.is_slow:
        return False
    try:
        async with asyncio.timeout(POLL_TIMEOUT_S):
            await primary.poll()
    except TimeoutError:
        age_s = now_s() - (primary.answered_at_s or 0.0)
        return age_s < group.section.suspect_after_s
    except UpstreamLostError:
        return False
    return primary.is_primary_in(group.term)
