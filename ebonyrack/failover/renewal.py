"""Renewal of the primary's term, which brings back upstreams fenced above it."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from ebonyrack.core.clock import now_s
from ebonyrack.core.logs import log_decision
from ebonyrack.failover.pre_vote import ask_peers

if TYPE_CHECKING:
    from ebonyrack.failover.coordinator import Coordinator
    from ebonyrack.upstreams.group import DatabaseGroup
    from ebonyrack.upstreams.upstream import Upstream

# The ballot that fenced an upstream gets this long to go on; less if no write can be
# confirmed without the upstream.
SETTLE_S = 1.0
URGENT_SETTLE_S = 0.3
# Each further rank acts this much later.
RANK_DELAY_S = 0.3
# Pause after a change of term; it doubles with each change that is remembered.
FIRST_PAUSE_S = 1.0
LONGEST_PAUSE_S = 60.0
LONGEST_URGENT_PAUSE_S = 2.0
MEMORY_S = 300.0
MAXIMUM_CHANGES = 16


class Renewal:
    """Moves a serving primary to a term above what its upstreams have granted.

    An upstream that granted a term never takes entries of a lower one again. If the
    ballot of that term was given up, the upstream stays out until the primary's term
    is above it, so the same primary is promoted again by an ordinary ballot.

    Attributes:
        coordinator: The group's coordinator, which holds the ballot.
        term: The group's term at the last check.
        ahead_since_s: Monotonic time since which an upstream is fenced above the
            primary's term, or None.
        changes: Monotonic times of changes of the term and of failed renewals, oldest
            first.
        failures: Renewals that failed since the last that succeeded.
    """

    __slots__ = ("coordinator", "term", "ahead_since_s", "changes", "failures")

    def __init__(self, coordinator: Coordinator) -> None:
        self.coordinator = coordinator
        self.term = 0
        self.ahead_since_s: float | None = None
        self.changes: deque[float] = deque(maxlen=MAXIMUM_CHANGES)
        self.failures = 0

    @property
    def group(self) -> DatabaseGroup:
        """The group."""
        return self.coordinator.group

    async def check(self, rank: int) -> None:
        """Renew the term if an upstream needs it and it is this proxy's turn.

        Args:
            rank: Place of this proxy among the coordinators.
        """
        self.note_term()
        primary = self.group.primary()
        ahead = self.list_ahead(primary)
        if primary is None or primary.is_leaving or not ahead:
            self.ahead_since_s = None
            return
        if self.ahead_since_s is None:
            self.ahead_since_s = now_s()
            self.log_ahead(ahead)
        is_urgent = not self.can_confirm(primary)
        if self.is_due(rank, is_urgent):
            await self.renew(is_urgent)

    def note_term(self) -> None:
        """Remember when the group's term changed, whoever changed it."""
        if self.group.term != self.term:
            self.term = self.group.term
            self.changes.append(self.group.primary_learned_at_s or now_s())

    def list_ahead(self, primary: Upstream | None) -> list[Upstream]:
        """Return the upstreams that answer and are fenced above the primary's term.

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

    def log_ahead(self, ahead: list[Upstream]) -> None:
        """Log which upstreams are out of the group, once for each time.

        Args:
            ahead: The upstreams.
        """
        log_decision(
            "fenced_above_primary",
            group=self.group.name,
            term=self.group.term,
            upstream=self.group.primary_name,
            fenced={upstream.name: upstream.highest_term for upstream in ahead},
        )

    def can_confirm(self, primary: Upstream) -> bool:
        """Tell whether writes are confirmed without the upstreams that are out.

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
        """Tell whether a ballot could be won and may begin now.

        Args:
            rank: Place of this proxy among the coordinators.
            is_urgent: Whether no write can be confirmed.

        Returns:
            Whether to renew the term.
        """
        counting = sum(
            item.counts_in_majority for item in self.group.upstreams.values()
        )
        if counting < self.group.majority or self.ahead_since_s is None:
            return False
        if self.coordinator.switchover.is_moving:
            return False
        settle_s = URGENT_SETTLE_S if is_urgent else SETTLE_S
        due_at_s = self.ahead_since_s + settle_s
        if self.changes:
            due_at_s = max(due_at_s, self.changes[-1] + self.compute_pause(is_urgent))
        # Without the rank both would begin at once when the pause ends.
        return now_s() >= due_at_s + rank * RANK_DELAY_S

    def compute_pause(self, is_urgent: bool) -> float:
        """Return how long after the last change of term the next may come.

        All coordinators see the same changes, so the limit holds for them together.

        Args:
            is_urgent: Whether no write can be confirmed.

        Returns:
            Seconds.
        """
        while self.changes and now_s() - self.changes[0] > MEMORY_S:
            self.changes.popleft()
        longest_s = LONGEST_URGENT_PAUSE_S if is_urgent else LONGEST_PAUSE_S
        return min(longest_s, FIRST_PAUSE_S * 2.0 ** len(self.changes))

    async def renew(self, is_urgent: bool) -> None:
        """Promote the same primary in a new term, unless a peer knows a higher one.

        Args:
            is_urgent: Whether no write can be confirmed; then transactions that are
                still open after the drain are rolled back.
        """
        vote = await ask_peers(
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
