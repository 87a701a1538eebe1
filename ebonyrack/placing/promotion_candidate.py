"""Chooses an upstream to promote without losing an acknowledged commit.

A commit is acknowledged once one replica has received it. After a primary is lost, the
candidate must hold all that any other replica has received, as each may have
acknowledged commits; the others are paused first, so that they can't acknowledge any
further ones. A primary that can be reached is made a replica first. All commits that it
ever acknowledged are in its log then, so a candidate that holds that log is safe,
whatever the other replicas hold. Every replica that is ordered has passed
`is_safe_candidate`; else only the former primary itself is.
"""

from __future__ import annotations

from msgspec import Struct

from ebonyrack.core.position import LogPosition


class ReplicaState(Struct, frozen=True):
    """State of an upstream other than the current or lost primary.

    Attributes:
        member_id: Identity.
        received: Position up to which it has received the log; None if it doesn't
            reply.
        is_paused: Whether it receives nothing more of the terms so far.
        is_leaving: Whether it will shut down soon.
    """

    member_id: str
    received: LogPosition | None
    is_paused: bool
    is_leaving: bool


class CommitEvidence(Struct, frozen=True):
    """What is known of acknowledged commits, besides what the replicas have received.

    Attributes:
        newest_acknowledged: Newest position whose commit is known to be acknowledged,
            or None.
        primary_position: Position of the newest primary, if it replies: all commits
            that it has acknowledged until then are at or before it. None if it doesn't
            reply, or a newer primary can't be excluded.
        may_have_departed: Whether an upstream that has left may have received commits
            that the others lack.
        departed_position: Position that covers those commits; None if it isn't known.
    """

    newest_acknowledged: LogPosition | None = None
    primary_position: LogPosition | None = None
    may_have_departed: bool = False
    departed_position: LogPosition | None = None


NO_EVIDENCE = CommitEvidence()


def choose_candidate(replicas: list[ReplicaState]) -> str | None:
    """Return the upstream that should be promoted after a loss, or None.

    Only the most complete log holds all acknowledged commits.

    Args:
        replicas: The upstreams other than the lost primary.
    """
    replying = [each for each in replicas if each.received is not None]
    if not replying:
        return None
    best = max(
        replying,
        key=lambda each: (each.received, not each.is_leaving, each.member_id),
    )
    return best.member_id


def choose_successor(
    replicas: list[ReplicaState], final_position: LogPosition
) -> str | None:
    """Return the replica that should succeed a primary that has stepped down, or None.

    Args:
        replicas: The other upstreams.
        final_position: End of the former primary's log after it stepped down.
    """
    holders = [
        each
        for each in replicas
        if each.received is not None and each.received >= final_position
    ]
    if not holders:
        return None
    best = max(
        holders,
        key=lambda each: (not each.is_leaving, each.received, each.member_id),
    )
    return best.member_id


def is_safe_candidate(
    candidate: str,
    replicas: list[ReplicaState],
    acknowledging_replicas: int,
    evidence: CommitEvidence = NO_EVIDENCE,
) -> bool:
    """Return whether an upstream holds every commit that was acknowledged.

    It does if it holds the log of the newest primary. Otherwise, every upstream that
    may have received an acknowledged commit must be known to hold no more than the
    candidate: those that are there by their status, those that have left by a position
    that the primary had after that.

    Args:
        candidate: The upstream to be promoted.
        replicas: All upstreams that may have acknowledged a commit.
        acknowledging_replicas: Number of replicas that must receive a commit before
            it is acknowledged.
        evidence: What else is known of acknowledged commits.
    """
    if acknowledging_replicas == 0:
        return True
    states = {each.member_id: each for each in replicas}
    position = states[candidate].received
    if position is None:
        return False
    newest = evidence.newest_acknowledged
    if newest is not None and position < newest:
        return False
    if holds_primary_log(position, evidence):
        return True
    return holds_departed(position, evidence) and all(
        other.received is not None and other.is_paused and other.received <= position
        for other in replicas
        if other.member_id != candidate
    )


def holds_primary_log(position: LogPosition, evidence: CommitEvidence) -> bool:
    """Return whether a log up to a position is the newest primary's, as far as known.

    Args:
        position: The position.
        evidence: What is known of acknowledged commits.
    """
    end = evidence.primary_position
    return end is not None and position >= end


def holds_departed(position: LogPosition, evidence: CommitEvidence) -> bool:
    """Return whether a log covers what upstreams that have left may hold.

    Args:
        position: Position up to which the log goes.
        evidence: What is known of acknowledged commits.
    """
    if not evidence.may_have_departed:
        return True
    covered = evidence.departed_position
    return covered is not None and position >= covered
