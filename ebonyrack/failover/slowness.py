"""Switchover away from a primary that is far slower than the rest of its group."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ebonyrack.core.clock import now_s
from ebonyrack.core.logs import log_decision
from ebonyrack.failover.detector import FailureReason
from ebonyrack.failover.detector import PrimaryFailure

if TYPE_CHECKING:
    from ebonyrack.failover.coordinator import Coordinator
    from ebonyrack.upstreams.group import DatabaseGroup
    from ebonyrack.upstreams.upstream import Upstream

RETRY_INTERVAL_S = 1.0
# After this many failed attempts, for instance because transactions stay open, the
# next attempt rolls open transactions back.
UNFORCED_ATTEMPTS = 3
# Factor by which the pause after a change of term is longer than that of renewals.
PAUSE_FACTOR = 5.0


class SlownessCheck:
    """Moves a slow primary if the pre-vote grants it and the replicas are fast.

    Attributes:
        coordinator: The group's coordinator.
        attempted_at_s: Monotonic time of the last attempt.
        failed_attempts: Consecutive failed switchovers.
    """

    __slots__ = ("coordinator", "attempted_at_s", "failed_attempts")

    def __init__(self, coordinator: Coordinator) -> None:
        self.coordinator = coordinator
        self.attempted_at_s = 0.0
        self.failed_attempts = 0

    @property
    def group(self) -> DatabaseGroup:
        """The group."""
        return self.coordinator.group

    async def check(self) -> None:
        """Move the primary if it is slow and a switchover would help."""
        primary = self.group.primary()
        if primary is None or primary.is_leaving or not primary.is_slow:
            self.failed_attempts = 0
            return
        if not self.is_due() or not self.can_replace(primary):
            return
        self.attempted_at_s = now_s()
        since_s = primary.slow_since_s or now_s()
        failure = PrimaryFailure(FailureReason.SLOW, since_s)
        if not await self.coordinator.run_pre_vote(failure):
            return
        await self.move(primary)

    def is_due(self) -> bool:
        """Check that enough time has passed since the last attempt and term change."""
        if self.coordinator.switchover.is_moving:
            return False
        if now_s() - self.attempted_at_s < RETRY_INTERVAL_S:
            return False
        pause_s = PAUSE_FACTOR * self.coordinator.renewal.compute_pause(is_urgent=False)
        return now_s() - (self.group.primary_learned_at_s or 0.0) >= pause_s

    def can_replace(self, primary: Upstream) -> bool:
        """Check whether the others would serve writes fast without the primary.

        Args:
            primary: The slow primary.

        Returns:
            Whether the fast replicas are a majority of the group without the primary.
        """
        fast = [
            upstream
            for upstream in self.group.replicas()
            if upstream is not primary and upstream.is_fast
        ]
        return len(fast) >= self.group.majority

    async def move(self, primary: Upstream) -> None:
        """Run a planned switchover to the best replica.

        Args:
            primary: The slow primary.
        """
        answer_s = primary.poll_time_s or 0.0
        forced = self.failed_attempts >= UNFORCED_ATTEMPTS
        outcome = await self.coordinator.switchover.run(None, forced)
        self.failed_attempts = 0 if outcome.succeeded else self.failed_attempts + 1
        log_decision(
            "switchover",
            group=self.group.name,
            upstream=primary.name,
            reason="slow",
            answer_s=round(answer_s, 4),
            succeeded=outcome.succeeded,
            text=outcome.text,
        )
