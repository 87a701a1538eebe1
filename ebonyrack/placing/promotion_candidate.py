"""Which upstream of a group may lead next without losing an acknowledged commit.

A commit is acknowledged once one replica has received it. The successor must hold
what every upstream that may have counted holds, so those others are paused first:
what they had received then is all they will ever have counted with.
"""

from __future__ import annotations

from dataclasses import dataclass

from ebonyrack.core.position import LogPosition


@dataclass(frozen=True, slots=True)
class ReplicaState:
    """What is known of one upstream that is not the lost primary.

    Attributes:
        member_id: Identity.
        received: Position up to which it has received the log; None if it does not
            answer.
        is_paused: Whether it receives nothing any more in the terms so far.
        is_leaving: Whether it will end soon.
    """

    member_id: str
    received: LogPosition | None
    is_paused: bool
    is_leaving: bool


def choose_candidate(replicas: list[ReplicaState], primary_serves: bool) -> str | None:
    """Return the upstream that should lead next, or None.

    While the primary serves, one that stays can still catch up with the others; once
    it is lost, only the most complete log has all that was acknowledged.

    Args:
        replicas: The upstreams besides the present or lost primary.
        primary_serves: Whether the replicas still receive commits.
    """
    answering = [each for each in replicas if each.received is not None]
    if primary_serves:
        answering = [each for each in answering if not each.is_leaving] or answering
    if not answering:
        return None
    best = max(
        answering,
        key=lambda each: (each.received, not each.is_leaving, each.member_id),
    )
    return best.member_id


def is_safe_candidate(
    candidate: str, replicas: list[ReplicaState], acknowledging_replicas: int
) -> bool:
    """Return whether an upstream holds every commit that was acknowledged.

    Args:
        candidate: The upstream that is to lead.
        replicas: All upstreams that may have counted for a commit.
        acknowledging_replicas: Replicas that receive a commit before it is
            acknowledged.
    """
    if acknowledging_replicas == 0:
        return True
    states = {each.member_id: each for each in replicas}
    own = states[candidate].received
    if own is None:
        return False
    for other in replicas:
        if other.member_id == candidate:
            continue
        if other.received is None or not other.is_paused or other.received > own:
            return False
    return True
