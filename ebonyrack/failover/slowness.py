"""Planned move of a primary that answers, but far slower than the rest of its group."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ebonyrack.core.clock import now_s
from ebonyrack.core.logs import log_decision
from ebonyrack.failover.detector import Suspicion
from ebonyrack.failover.detector import SuspicionReason

if TYPE_CHECKING:
    from ebonyrack.failover.coordinator import Coordinator
    from ebonyrack.upstreams.group import DatabaseGroup
    from ebonyrack.upstreams.upstream import Upstream

RETRY_S = 1.0
# After so many moves that open transactions stopped, the next one rolls them back.
UNFORCED_TRIES = 3
# The pause after a change of term is this many times as long as that of renewals.
PAUSE_FACTOR = 5.0


class SlownessCheck:
    """Moves a slow primary, if the peers find it slow and the replicas are fast.

    Attributes:
        coordinator: The group's coordinator.
        tried_at_s: Monotonic time of the last try.
        tries: Moves in a row that failed.
    """

    __slots__ = ("coordinator", "tried_at_s", "tries")

    def __init__(self, coordinator: Coordinator) -> None:
        self.coordinator = coordinator
        self.tried_at_s = 0.0
        self.tries = 0

    @property
    def group(self) -> DatabaseGroup:
        """The group."""
        return self.coordinator.group

    async def check(self) -> None:
        """Move the primary if it is slow and a move would help."""
        primary = self.group.primary()
        if primary is None or primary.is_leaving or not primary.is_slow:
            self.tries = 0
            return
        if not self.is_due() or not self.can_replace(primary):
            return
        self.tried_at_s = now_s()
        since_s = primary.slow_since_s or now_s()
        suspicion = Suspicion(SuspicionReason.SLOW, since_s)
        if not await self.coordinator.is_granted(suspicion):
            return
        await self.move(primary)

    def is_due(self) -> bool:
        """Tell whether the last try and the last change of term are long ago."""
        if self.coordinator.switchover.is_moving:
            return False
        if now_s() - self.tried_at_s < RETRY_S:
            return False
        pause_s = PAUSE_FACTOR * self.coordinator.renewal.compute_pause(is_urgent=False)
        return now_s() - (self.group.primary_learned_at_s or 0.0) >= pause_s

    def can_replace(self, primary: Upstream) -> bool:
        """Tell whether the others would serve writes fast without the primary.

        Args:
            primary: The slow primary.

        Returns:
            Whether the replicas that follow it and are fast make up a majority.
        """
        fast = [
            upstream
            for upstream in self.group.replicas()
            if upstream is not primary and upstream.is_fast
        ]
        return len(fast) >= self.group.majority

    async def move(self, primary: Upstream) -> None:
        """Hold a planned switchover to the best replica.

        Args:
            primary: The slow primary.
        """
        answer_s = primary.poll_time_s or 0.0
        forced = self.tries >= UNFORCED_TRIES
        outcome = await self.coordinator.switchover.run(None, forced)
        self.tries = 0 if outcome.succeeded else self.tries + 1
        log_decision(
            "switchover",
            group=self.group.name,
            upstream=primary.name,
            reason="slow",
            answer_s=round(answer_s, 4),
            succeeded=outcome.succeeded,
            text=outcome.text,
        )
