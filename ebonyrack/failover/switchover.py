"""Planned switchover: no acknowledged write is lost and no request is interrupted."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ebonyrack.core.clock import now_s
from ebonyrack.core.logs import log_decision
from ebonyrack.peers.primary_messages import HoldWrites
from ebonyrack.peers.primary_messages import WritesHeld
from ebonyrack.peers.request_link import PeerLostError
from ebonyrack.upstreams.connection import UpstreamLostError

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from ebonyrack.failover.coordinator import Coordinator
    from ebonyrack.upstreams.group import DatabaseGroup
    from ebonyrack.upstreams.upstream import Upstream

# Limit on how long new writes are held.
HOLD_S = 1.0
DRAIN_TIMEOUT_S = 0.6
CATCH_UP_TIMEOUT_S = 0.3
PEER_TIMEOUT_S = 0.8
RETRY_INTERVAL_S = 0.5
# A primary that has been leaving for longer is replaced despite open transactions.
FORCE_AFTER_S = 1.2


@dataclass(frozen=True, slots=True)
class SwitchoverOutcome:
    """Result of a planned switchover.

    Attributes:
        succeeded: Whether the target is primary now.
        text: The new primary, or why the switchover failed.
    """

    succeeded: bool
    text: str


class Switchover:
    """Moves the primary of one group on request or when it is leaving.

    Attributes:
        coordinator: The group's coordinator, which runs the ballot.
        attempted_at_s: Monotonic time of the last attempt.
        lock: Held while a switchover or renewal runs.
    """

    __slots__ = ("coordinator", "attempted_at_s", "lock")

    def __init__(self, coordinator: Coordinator) -> None:
        self.coordinator = coordinator
        self.attempted_at_s = 0.0
        self.lock = asyncio.Lock()

    @property
    def group(self) -> DatabaseGroup:
        """The group."""
        return self.coordinator.group

    @property
    def is_moving(self) -> bool:
        """Whether this proxy or a peer is moving the primary now."""
        return self.lock.locked() or self.group.writes_held_until_s > now_s()

    async def check(self) -> None:
        """Move the primary if it is leaving."""
        primary = self.group.upstreams.get(self.group.primary_name or "")
        if primary is None or not primary.is_leaving:
            return
        if now_s() - self.attempted_at_s < RETRY_INTERVAL_S:
            return
        self.attempted_at_s = now_s()
        since_s = self.group.leaving_since_s.get(primary.name, now_s())
        forced = now_s() - since_s > FORCE_AFTER_S
        outcome = await self.run(None, forced)
        log_decision(
            "switchover",
            group=self.group.name,
            upstream=primary.name,
            reason="leaving",
            succeeded=outcome.succeeded,
            text=outcome.text,
        )

    async def run(self, to: str | None, forced: bool) -> SwitchoverOutcome:
        """Move the primary to another upstream.

        Args:
            to: Name of the upstream to promote, or None for the most advanced
                replica.
            forced: Whether to continue although transactions are still open.

        Returns:
            The result.
        """
        async with self.lock:
            primary = self.group.primary() or self.group.upstreams.get(
                self.group.primary_name or ""
            )
            target = self.choose_target(to)
            if primary is None or target is None:
                return SwitchoverOutcome(False, "no replica can take over")
            if target is primary:
                text = f"{target.name} is primary already"
                return SwitchoverOutcome(True, text)
            return await self.move("switchover", primary, target, forced)

    async def renew(self, forced: bool) -> SwitchoverOutcome:
        """Promote the current primary again in a new term.

        Args:
            forced: Whether to continue although transactions are still open.

        Returns:
            The result.
        """
        async with self.lock:
            primary = self.group.primary()
            if primary is None:
                return SwitchoverOutcome(False, "the group has no primary")
            return await self.move("renewal", primary, primary, forced)

    async def move(
        self, reason: str, primary: Upstream, target: Upstream, forced: bool
    ) -> SwitchoverOutcome:
        """Hold new writes, drain the primary, let the target catch up and promote it.

        Args:
            reason: Reason that is logged.
            primary: The current primary.
            target: The upstream to promote.
            forced: Whether to continue although transactions are still open.

        Returns:
            The result.
        """
        term = self.group.term
        started_s = now_s()
        self.group.hold_writes(HOLD_S)
        try:
            if not await self.drain() and not forced:
                return SwitchoverOutcome(False, "transactions are still open")
            if not await self.catch_up(primary, target):
                return SwitchoverOutcome(False, f"{target.name} does not catch up")
            if self.group.term != term:
                return SwitchoverOutcome(False, "the primary changed in the meantime")
            durations_s = {"hold_s": now_s() - started_s}
            outcome = await self.coordinator.run_ballot(
                reason, durations_s, preferred=target.name
            )
        finally:
            await self.release_all_writes()
        if not outcome.won:
            return SwitchoverOutcome(False, outcome.reason)
        succeeded = outcome.primary_name == target.name
        return SwitchoverOutcome(succeeded, f"primary is {outcome.primary_name}")

    def choose_target(self, to: str | None) -> Upstream | None:
        """Choose the upstream to promote.

        Args:
            to: Its name, or None for the most advanced replica.

        Returns:
            The upstream, or None if there is no suitable one.
        """
        if to is not None and to == self.group.primary_name:
            return self.group.primary()
        candidates = [
            upstream
            for upstream in self.group.replicas()
            if to is None or upstream.name == to
        ]
        return max(candidates, key=rank_target, default=None)

    async def drain(self) -> bool:
        """Wait until no transaction of any proxy is open on the primary.

        Returns:
            Whether all finished in time. An unreachable proxy is not waited for: the
            fence rolls back its open transactions, which that proxy reports as not run.
        """
        message = HoldWrites(self.group.name, self.group.term, round(HOLD_S * 1000))
        drained = await asyncio.gather(
            self.group.drain_primary(DRAIN_TIMEOUT_S),
            *self.build_hold_requests(message),
        )
        return all(drained)

    def build_hold_requests(
        self, message: HoldWrites
    ) -> list[Coroutine[None, None, bool]]:
        """Build a hold request to each live peer.

        Args:
            message: The request.

        Returns:
            Coroutines that return whether the peer has no open transaction.
        """
        membership = self.coordinator.membership
        return [
            self.hold_peer_writes(member.name, message)
            for member in membership.live_members()
            if member.name != membership.local.name
        ]

    async def hold_peer_writes(self, name: str, message: HoldWrites) -> bool:
        """Ask one peer to hold its writes.

        Args:
            name: Name of the peer.
            message: The request.

        Returns:
            Whether it has no open transaction or is unreachable.
        """
        try:
            reply = await self.coordinator.hub.request(name, message, PEER_TIMEOUT_S)
        except PeerLostError:
            return True
        return not isinstance(reply, WritesHeld) or reply.is_drained

    async def release_all_writes(self) -> None:
        """Resume the writes of every proxy."""
        self.group.release_writes()
        message = HoldWrites(self.group.name, self.group.term, 0)
        await asyncio.gather(*self.build_hold_requests(message))

    async def catch_up(self, primary: Upstream, target: Upstream) -> bool:
        """Wait until the target has received the primary's whole log.

        Args:
            primary: The primary.
            target: The upstream to promote.

        Returns:
            Whether it caught up in time.
        """
        if target is primary:
            return True
        try:
            wanted = (await primary.poll()).received
            status = await target.poll(wanted, CATCH_UP_TIMEOUT_S, received=True)
        except UpstreamLostError:
            return False
        return status.received >= wanted


def rank_target(upstream: Upstream) -> tuple[bool, int, int]:
    """Return the sort key of a target: not slow first, then log position."""
    if upstream.status is None:
        return (False, 0, 0)
    received = upstream.status.received
    return (not upstream.is_slow, received.term, received.offset)
