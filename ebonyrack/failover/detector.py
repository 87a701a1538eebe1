"""Judgement whether the primary of a group has failed."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from ebonyrack.core.clock import now_s

if TYPE_CHECKING:
    from ebonyrack.upstreams.group import DatabaseGroup
    from ebonyrack.upstreams.upstream import Upstream

# A group whose upstreams have just been found gets this long to show its primary.
START_GRACE_S = 0.5
# A primary fenced by a ballot of another proxy gets this long to be replaced by it.
FENCED_GRACE_S = 0.3
MAXIMUM_FENCES = 100


class SuspicionReason(StrEnum):
    """Ways in which a primary fails."""

    REFUSED = "refused"
    SILENT = "silent"
    CUT_FROM_REPLICAS = "cut_from_replicas"
    FENCED = "fenced"
    NO_PRIMARY = "no_primary"
    SLOW = "slow"

    @property
    def needs_votes(self) -> bool:
        """Whether it may be this proxy's own link that failed."""
        return self in (
            SuspicionReason.REFUSED,
            SuspicionReason.SILENT,
            SuspicionReason.SLOW,
        )


@dataclass(frozen=True, slots=True)
class Suspicion:
    """A primary held for failed.

    Attributes:
        reason: In which way.
        since_s: Monotonic time of the last sign that it worked.
    """

    reason: SuspicionReason
    since_s: float


class Detector:
    """Judges the primary of one group by the latest answers of all upstreams.

    Attributes:
        group: The group.
        started_at_s: Monotonic time of the first judgement.
        unfit_since_s: Monotonic time since which the primary answers but is no
            primary in the group's term, or None.
        fenced_since_s: Name and granted term of a replica that granted a higher
            term than the group's, to the monotonic time when that was first seen.
    """

    __slots__ = ("group", "started_at_s", "unfit_since_s", "fenced_since_s")

    def __init__(self, group: DatabaseGroup) -> None:
        self.group = group
        self.started_at_s: float | None = None
        self.unfit_since_s: float | None = None
        self.fenced_since_s: dict[tuple[str, int], float] = {}

    def judge(self) -> Suspicion | None:
        """Judge the primary now.

        Returns:
            A suspicion, or None while the primary works or nothing can be said.
        """
        if self.started_at_s is None:
            self.started_at_s = now_s()
        primary = self.group.upstreams.get(self.group.primary_name or "")
        if primary is None:
            return self.judge_missing()
        if primary.state == "lost":
            self.unfit_since_s = None
            reason = (
                SuspicionReason.REFUSED
                if primary.refuses_connections
                else SuspicionReason.SILENT
            )
            return Suspicion(reason, primary.answered_at_s or self.started_at_s)
        if not primary.is_primary_in(self.group.term):
            return self.judge_unfit(primary)
        self.unfit_since_s = None
        return self.judge_links(primary)

    def judge_missing(self) -> Suspicion | None:
        """Judge a group whose primary nobody has seen yet."""
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
        return Suspicion(SuspicionReason.NO_PRIMARY, self.started_at_s)

    def judge_unfit(self, primary: Upstream) -> Suspicion | None:
        """Judge a primary that answers but is no primary in the group's term."""
        answered_at_s = primary.answered_at_s or 0.0
        if answered_at_s < (self.group.primary_learned_at_s or 0.0):
            return None
        if self.unfit_since_s is None:
            self.unfit_since_s = now_s()
        status = primary.status
        is_fenced = status is not None and status.fenced_term > self.group.term
        if is_fenced and now_s() - self.unfit_since_s < FENCED_GRACE_S:
            return None
        return Suspicion(SuspicionReason.FENCED, self.unfit_since_s)

    def judge_links(self, primary: Upstream) -> Suspicion | None:
        """Judge whether a primary that answers still reaches a majority.

        Deposing it helps only if replicas that make up a majority without it answer.
        """
        replicas = [
            upstream
            for upstream in self.group.upstreams.values()
            if upstream is not primary and upstream.counts_in_majority
        ]
        silent = [upstream for upstream in replicas if self.is_cut_off(upstream)]
        connected = len(replicas) - len(silent)
        if connected + 1 >= self.group.majority or len(replicas) < self.group.majority:
            return None
        silence_s = min(
            upstream.status.silence_s or 0.0
            for upstream in silent
            if upstream.status is not None
        )
        return Suspicion(SuspicionReason.CUT_FROM_REPLICAS, now_s() - silence_s)

    def is_witnessed(self) -> bool:
        """Tell whether the replicas themselves say that the primary is gone.

        Returns:
            Whether a majority of the upstreams, the primary not among them, answers
            and has heard nothing from it for too long.
        """
        silent = [
            upstream
            for upstream in self.group.upstreams.values()
            if upstream.name != self.group.primary_name
            and upstream.counts_in_majority
            and self.is_cut_off(upstream)
        ]
        return len(silent) >= self.group.majority

    def is_cut_off(self, upstream: Upstream) -> bool:
        """Tell whether a replica hears nothing from the primary.

        Args:
            upstream: A replica that answers.

        Returns:
            Whether it was silent for too long; judged by its lag if the upstream
            can't tell. A replica that has granted a higher term is cut off too,
            unless the ballot of that term may still be in work.
        """
        status = upstream.status
        if status is None:
            return False
        if status.fenced_term > self.group.term:
            return self.is_fenced_for_long(upstream.name, status.fenced_term)
        if not upstream.is_following(self.group.term):
            return False
        if status.silence_s is None:
            lag_s = self.group.primary_history.compute_lag(status.received)
            return lag_s > self.group.section.lag_refusal_s
        # A replica that has just been ordered to follow has not heard anything yet.
        term_age_s = now_s() - (self.group.primary_learned_at_s or 0.0)
        silence_s = min(status.silence_s, term_age_s)
        return silence_s > self.group.section.suspect_after_s

    def is_fenced_for_long(self, name: str, fenced_term: int) -> bool:
        """Tell whether the ballot that fenced a replica has had its time.

        Args:
            name: Name of the replica.
            fenced_term: Term that it granted.

        Returns:
            Whether it granted the term longer ago than a ballot takes.
        """
        if len(self.fenced_since_s) > MAXIMUM_FENCES:
            self.fenced_since_s.clear()
        since_s = self.fenced_since_s.setdefault((name, fenced_term), now_s())
        return now_s() - since_s > FENCED_GRACE_S
