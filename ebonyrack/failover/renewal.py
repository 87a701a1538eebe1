"""Term renewal: brings back upstreams that are fenced above the primary's term."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from ebonyrack.core.clock import now_s
from ebonyrack.core.logs import log_decision
from ebonyrack.failover.pre_vote import collect_votes

if TYPE_CHECKING:
    from ebonyrack.failover.coordinator import Coordinator
    from ebonyrack.upstreams.group import DatabaseGroup
    from ebonyrack.upstreams.upstream import Upstream

# Time for the ballot that fenced an upstream to finish before the term is renewed;
# shorter if no write can be confirmed without the upstream.
BALLOT_GRACE_S = 1.0
URGENT_BALLOT_GRACE_S = 0.3
# Delay per coordinator rank.
RANK_DELAY_S = 0.3
# Pause after a change of term; it doubles with each change that is retained.
FIRST_PAUSE_S = 1.0
LONGEST_PAUSE_S = 60.0
LONGEST_URGENT_PAUSE_S = 2.0
CHANGE_RETENTION_S = 300.0
MAXIMUM_CHANGES = 16


class Renewal:
    """Raises the term of a serving primary above all terms that upstreams granted.

    An upstream that granted a term never accepts entries of a lower one again. If the
    ballot of that term was abandoned, the upstream can't follow until the primary's
    term is higher, so an ordinary ballot promotes the same primary again.

    Attributes:
        coordinator: The group's coordinator, which runs the ballot.
        term: The group's term at the last check.
        fenced_above_since_s: Monotonic time since which an upstream is fenced above
            the primary's term, or None.
        changes: Monotonic times of term changes and failed renewals, oldest first.
        failures: Failed renewals since the last successful one.
    """

    __slots__ = ("coordinator", "term", "fenced_above_since_s", "changes", "failures")

    def __init__(self, coordinator: Coordinator) -> None:
        self.coordinator = coordinator
        self.term = 0
        self.fenced_above_since_s: float | None = None
        self.changes: deque[float] = deque(maxlen=MAXIMUM_CHANGES)
        self.failures = 0

    @property
    def group(self) -> DatabaseGroup:
        """The group."""
        return self.coordinator.group

    async def check(self, rank: int) -> None:
        """Renew the term if an upstream is fenced above it and a renewal is due.

        Args:
            rank: Coordinator rank of this proxy.
        """
        self.record_term_change()
        primary = self.group.primary()
        fenced_above = self.list_fenced_above(primary)
        if primary is None or primary.is_leaving or not fenced_above:
            self.fenced_above_since_s = None
            return
        if self.fenced_above_since_s is None:
            self.fenced_above_since_s = now_s()
            self.log_fenced_above(fenced_above)
        is_urgent = not self.can_confirm(primary)
        if self.is_due(rank, is_urgent):
            await self.renew(is_urgent)

    def record_term_change(self) -> None:
        """Record the time of a term change, whichever proxy caused it."""
        if self.group.term != self.term:
            self.term = self.group.term
            self.changes.append(self.group.primary_learned_at_s or now_s())

    def list_fenced_above(self, primary: Upstream | None) -> list[Upstream]:
        """Return the reachable upstreams that are fenced above the primary's term.

        Args:
            primary: The serving primary, or None.
        """
        return [
            upstream
            for upstream in self.group.upstreams.values()
            if upstream is not primary
            and upstream.is_reachable
            and upstream.highest_term > self.group.term
        ]

    def log_fenced_above(self, fenced_above: list[Upstream]) -> None:
        """Log which upstreams are fenced above the primary's term, once per occurrence.

        Args:
            fenced_above: The upstreams.
        """
        log_decision(
            "fenced_above_primary",
            group=self.group.name,
            term=self.group.term,
            upstream=self.group.primary_name,
            fenced={upstream.name: upstream.highest_term for upstream in fenced_above},
        )

    def can_confirm(self, primary: Upstream) -> bool:
        """Check whether writes can be confirmed without the fenced upstreams.

        Args:
            primary: The serving primary.

        Returns:
            Whether the primary and the replicas that follow it are a majority.
        """
        following = sum(
            upstream.counts_in_majority and upstream.is_following(self.group.term)
            for upstream in self.group.upstreams.values()
            if upstream is not primary
        )
        return following + 1 >= self.group.majority

    def is_due(self, rank: int, is_urgent: bool) -> bool:
        """Check whether a renewal could succeed and may begin now.

        Args:
            rank: Coordinator rank of this proxy.
            is_urgent: Whether no write can be confirmed.

        Returns:
            Whether to renew the term.
        """
        counting = sum(
            item.counts_in_majority for item in self.group.upstreams.values()
        )
        if counting < self.group.majority or self.fenced_above_since_s is None:
            return False
        if self.coordinator.switchover.is_moving:
            return False
        grace_s = URGENT_BALLOT_GRACE_S if is_urgent else BALLOT_GRACE_S
        due_at_s = self.fenced_above_since_s + grace_s
        if self.changes:
            due_at_s = max(due_at_s, self.changes[-1] + self.compute_pause(is_urgent))
        # Without the rank's delay all coordinators would begin together.
        return now_s() >= due_at_s + rank * RANK_DELAY_S

    def compute_pause(self, is_urgent: bool) -> float:
        """Return the minimum time between the last term change and the next renewal.

        All coordinators see the same term changes, so the limit applies to them
        together.

        Args:
            is_urgent: Whether no write can be confirmed.

        Returns:
            The pause in seconds.
        """
        while self.changes and now_s() - self.changes[0] > CHANGE_RETENTION_S:
            self.changes.popleft()
        longest_s = LONGEST_URGENT_PAUSE_S if is_urgent else LONGEST_PAUSE_S
        return min(longest_s, FIRST_PAUSE_S * 2.0 ** len(self.changes))

    async def renew(self, is_urgent: bool) -> None:
        """Promote the same primary in a new term unless a peer knows a higher one.

        Args:
            is_urgent: Whether no write can be confirmed; if so, transactions that are
                still open after the drain are rolled back.
        """
        vote = await collect_votes(
            self.group,
            self.coordinator.hub,
            self.coordinator.membership,
            needs_votes=False,
        )
        if not vote.granted:
            return
        outcome = await self.coordinator.switchover.renew(forced=is_urgent)
        log_decision(
            "term_renewal",
            group=self.group.name,
            upstream=self.group.primary_name,
            term=self.group.term,
            urgent=is_urgent,
            succeeded=outcome.succeeded,
            text=outcome.text,
        )
        if outcome.succeeded:
            self.failures = 0
        else:
            self.failures += 1
            self.changes.append(now_s())
