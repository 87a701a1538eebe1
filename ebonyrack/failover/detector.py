"""Detection of a failed primary from the latest status of all upstreams."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from ebonyrack.core.clock import now_s

if TYPE_CHECKING:
    from ebonyrack.upstreams.group import DatabaseGroup
    from ebonyrack.upstreams.upstream import Upstream

# Time after the start during which a missing primary is not a failure.
START_GRACE_S = 0.5
# Time for a ballot of another proxy to finish after it has fenced an upstream.
FENCED_GRACE_S = 0.3
MAXIMUM_FENCES = 100


class FailureReason(StrEnum):
    """How a primary failed; the values are written to the log."""

    REFUSED = "refused"
    SILENT = "silent"
    CUT_FROM_REPLICAS = "cut_from_replicas"
    FENCED = "fenced"
    NO_PRIMARY = "no_primary"
    SLOW = "slow"

    @property
    def needs_votes(self) -> bool:
        """Whether peers must vote, as perhaps only this proxy's link has failed."""
        return self in (
            FailureReason.REFUSED,
            FailureReason.SILENT,
            FailureReason.SLOW,
        )


@dataclass(frozen=True, slots=True)
class PrimaryFailure:
    """A detected failure of a primary.

    Attributes:
        reason: How it failed.
        since_s: Monotonic time at which it was last known to work.
    """

    reason: FailureReason
    since_s: float


class Detector:
    """Assesses the primary of one group from the latest status of all upstreams.

    Attributes:
        group: The group.
        started_at_s: Monotonic time of the first assessment.
        demoted_since_s: Monotonic time since which the primary answers but is not
            primary in the group's term, or None.
        fenced_since_s: Maps the name and granted term of a replica fenced above the
            group's term to the monotonic time when that was first seen.
    """

    __slots__ = ("group", "started_at_s", "demoted_since_s", "fenced_since_s")

    def __init__(self, group: DatabaseGroup) -> None:
        self.group = group
        self.started_at_s: float | None = None
        self.demoted_since_s: float | None = None
        self.fenced_since_s: dict[tuple[str, int], float] = {}

    def assess_primary(self) -> PrimaryFailure | None:
        """Assess the primary now.

        Returns:
            The failure, or None if the primary works or its health is unknown.
        """
        if self.started_at_s is None:
            self.started_at_s = now_s()
        primary = self.group.upstreams.get(self.group.primary_name or "")
        if primary is None:
            return self.assess_missing_primary()
        if primary.state == "lost":
            self.demoted_since_s = None
            reason = (
                FailureReason.REFUSED
                if primary.refuses_connections
                else FailureReason.SILENT
            )
            return PrimaryFailure(reason, primary.answered_at_s or self.started_at_s)
        if not primary.is_primary_in(self.group.term):
            return self.assess_demoted_primary(primary)
        self.demoted_since_s = None
        return self.assess_replica_links(primary)

    def assess_missing_primary(self) -> PrimaryFailure | None:
        """Assess a group without a known primary."""
        assert self.started_at_s is not None
        if now_s() - self.started_at_s < START_GRACE_S:
            return None
        reachable = [
            upstream
            for upstream in self.group.upstreams.values()
            if upstream.counts_in_majority
        ]
        if len(reachable) < self.group.majority:
            return None
        return PrimaryFailure(FailureReason.NO_PRIMARY, self.started_at_s)

    def assess_demoted_primary(self, primary: Upstream) -> PrimaryFailure | None:
        """Assess a primary that answers but is not primary in the group's term."""
        answered_at_s = primary.answered_at_s or 0.0
        if answered_at_s < (self.group.primary_learned_at_s or 0.0):
            return None
        if self.demoted_since_s is None:
            self.demoted_since_s = now_s()
        status = primary.status
        is_fenced = status is not None and status.fenced_term > self.group.term
        if is_fenced and now_s() - self.demoted_since_s < FENCED_GRACE_S:
            return None
        return PrimaryFailure(FailureReason.FENCED, self.demoted_since_s)

    def assess_replica_links(self, primary: Upstream) -> PrimaryFailure | None:
        """Assess whether a primary that answers still replicates to a majority.

        Replacing it helps only if the replicas that answer are a majority without it.
        """
        replicas = [
            upstream
            for upstream in self.group.upstreams.values()
            if upstream is not primary and upstream.counts_in_majority
        ]
        cut_off = [upstream for upstream in replicas if self.is_cut_off(upstream)]
        connected = len(replicas) - len(cut_off)
        if connected + 1 >= self.group.majority or len(replicas) < self.group.majority:
            return None
        silence_s = min(
            upstream.status.silence_s or 0.0
            for upstream in cut_off
            if upstream.status is not None
        )
        return PrimaryFailure(FailureReason.CUT_FROM_REPLICAS, now_s() - silence_s)

    def is_loss_confirmed_by_replicas(self) -> bool:
        """Check whether a majority of replicas has lost contact with the primary.

        Returns:
            Whether replicas that answer and are cut off from the primary are a
            majority of the group without it.
        """
        cut_off = [
            upstream
            for upstream in self.group.upstreams.values()
            if upstream.name != self.group.primary_name
            and upstream.counts_in_majority
            and self.is_cut_off(upstream)
        ]
        return len(cut_off) >= self.group.majority

    def is_cut_off(self, upstream: Upstream) -> bool:
        """Check whether a replica is cut off from the primary.

        Args:
            upstream: A replica that answers.

        Returns:
            Whether it received nothing from the primary for too long, or lags too
            far if it does not report that time. A replica that has granted a higher
            term is cut off too, unless the ballot of that term may still be running.
        """
        status = upstream.status
        if status is None:
            return False
        if status.fenced_term > self.group.term:
            return self.is_fence_abandoned(upstream.name, status.fenced_term)
        if not upstream.is_following(self.group.term):
            return False
        if status.silence_s is None:
            lag_s = self.group.primary_history.compute_lag(status.received)
            return lag_s > self.group.section.lag_refusal_s
        # A replica that was just ordered to follow has received nothing yet, so the
        # silence can't be longer than the term.
        term_age_s = now_s() - (self.group.primary_learned_at_s or 0.0)
        silence_s = min(status.silence_s, term_age_s)
        return silence_s > self.group.section.suspect_after_s

    def is_fence_abandoned(self, name: str, fenced_term: int) -> bool:
        """Check whether the ballot that fenced a replica was abandoned.

        Args:
            name: Name of the replica.
            fenced_term: Term that it granted.

        Returns:
            Whether the grant was first seen longer ago than a ballot takes.
        """
        if len(self.fenced_since_s) > MAXIMUM_FENCES:
            self.fenced_since_s.clear()
        since_s = self.fenced_since_s.setdefault((name, fenced_term), now_s())
        return now_s() - since_s > FENCED_GRACE_S
