"""Chooses an upstream to promote without losing an acknowledged commit.

A commit is acknowledged once one replica has received it. After a primary is lost, the
candidate must hold all that any other replica has received, as each may have
acknowledged commits; the others are paused first, so that they can't acknowledge any
further ones. A primary that can be reached is made a replica first. All commits that it
ever acknowledged are in its log then, so the candidate must hold that log, whatever the
other replicas hold.
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
    newest_acknowledged: LogPosition | None = None,
) -> bool:
    """Return whether an upstream holds every commit that was acknowledged.

    Args:
        candidate: The upstream to be promoted.
        replicas: All upstreams that may have acknowledged a commit.
        acknowledging_replicas: Number of replicas that must receive a commit before
            it is acknowledged.
        newest_acknowledged: Newest position whose commit is known to be acknowledged,
            or None. The replica that received it may have left the group since.
    """
    if acknowledging_replicas == 0:
        return True
    states = {each.member_id: each for each in replicas}
    candidate_position = states[candidate].received
    if candidate_position is None:
        return False
    if newest_acknowledged is not None and candidate_position < newest_acknowledged:
        return False
    for other in replicas:
        if other.member_id == candidate:
            continue
        if (
            other.received is None
            or not other.is_paused
            or other.received > candidate_position
        ):
            return False
    return True
