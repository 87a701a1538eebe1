"""Decides whether a commit may be acknowledged, or a change of primary may lose it.

An upstream acknowledges a commit once one replica has received it. A holder of the
promotion lease pauses the replicas that it knows before it orders a promotion. If the
primary that seemed lost returns before the order is carried out, its commits may count
with a replica that has joined or restarted since, and the new primary lacks them. A
replica that takes part in every such promotion shows whether it holds a commit.

Load: the writes of a group whose primary was silent, unreachable or cut off from its
replicas a short time ago, or that an upstream has joined.
"""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct

from ebonyrack.core.position import LogPosition
from ebonyrack.placing.leadership import MINIMUM_RUNNING_S
from ebonyrack.requests.reply import UpstreamStatus

# A promotion lease lasts less than 4 s, and an order without a response is carried out
# within 8 s or never.
CHANGE_LIFETIME_S = 12.0
# A replica that receives the log holds what the primary held this long ago.
REPLICA_DELAY_LIMIT_S = 1.0


class CommitDoubt(StrEnum):
    """Why a change of primary that this proxy doesn't know of can't be excluded."""

    PRIMARY_DISTURBED = "the primary was silent or unreachable a short time ago"
    UPSTREAM_JOINED = "an upstream joined a short time ago"
    REPLICAS_BEHIND = "no replica has what the primary had a second ago"


class CommitVerdict(StrEnum):
    """What the replicas say about a commit."""

    HELD = "held"
    REPLACED = "replaced"
    NOT_SHOWN = "not_shown"


class GroupObservation(Struct, frozen=True):
    """What a proxy knows of a group when an upstream has acknowledged a commit.

    Attributes:
        primary_calm_for_s: Seconds since the primary was last silent or unreachable.
        newest_join_s: Seconds since the newest upstream became known.
        earlier_position: Position that the primary had `REPLICA_DELAY_LIMIT_S` ago, or
            None if this proxy has no such sample.
        replica_position: Newest position that a replica has reported within the last
            `REPLICA_DELAY_LIMIT_S`, or None.
    """

    primary_calm_for_s: float
    newest_join_s: float
    earlier_position: LogPosition | None
    replica_position: LogPosition | None


class ReplicaReply(Struct, frozen=True):
    """Status of a replica, and since when it can't have joined or restarted.

    Attributes:
        status: Its status.
        running_for_s: Seconds for which it has certainly run.
    """

    status: UpstreamStatus
    running_for_s: float


def find_doubt(observation: GroupObservation) -> CommitDoubt | None:
    """Return why a commit has to be looked for at the replicas, None if it hasn't."""
    if observation.primary_calm_for_s < CHANGE_LIFETIME_S:
        return CommitDoubt.PRIMARY_DISTURBED
    if observation.newest_join_s < CHANGE_LIFETIME_S:
        return CommitDoubt.UPSTREAM_JOINED
    earlier, received = observation.earlier_position, observation.replica_position
    if earlier is not None and received is not None and received < earlier:
        return CommitDoubt.REPLICAS_BEHIND
    return None


def is_acknowledged_unseen(doubt: CommitDoubt, has_established_replica: bool) -> bool:
    """Return whether a commit counts though no established replica can hold it.

    A group whose only replicas are new would acknowledge nothing otherwise. While its
    primary has served without a break, nobody has had a reason to replace it.
    """
    return not has_established_replica and doubt is CommitDoubt.UPSTREAM_JOINED


def judge_commit(
    position: LogPosition, replies: list[ReplicaReply], is_complete: bool
) -> CommitVerdict:
    """Return whether a commit outlives any change of primary under way.

    A replica that has run since before any such change was paused by it unless it is
    the candidate, which must hold all that the paused ones hold. One that has restarted
    was paused again soon, or an order is open and the other replicas are still paused.

    Args:
        position: Position of the primary's log with the commit.
        replies: Replies of replicas, requested after the commit.
        is_complete: Whether every replica of the group has replied.
    """
    if any(reply.status.term > position.term for reply in replies):
        return CommitVerdict.REPLACED
    is_paused = any(reply.status.paused_term > position.term for reply in replies)
    is_calm = is_complete and not is_paused
    needed_s = MINIMUM_RUNNING_S if is_calm else CHANGE_LIFETIME_S
    for reply in replies:
        if reply.running_for_s > needed_s and holds(reply.status, position):
            return CommitVerdict.HELD
    return CommitVerdict.NOT_SHOWN


def is_conclusive(position: LogPosition, reply: ReplicaReply) -> bool:
    """Return whether one reply tells what the replies of all replicas would.

    Args:
        position: Position of the primary's log with the commit.
        reply: The reply.
    """
    if reply.status.term > position.term:
        return True
    has_run = reply.running_for_s > CHANGE_LIFETIME_S
    return has_run and holds(reply.status, position)


def holds(status: UpstreamStatus, position: LogPosition) -> bool:
    """Return whether a replica has received the log up to a position of its term."""
    received = status.received
    if status.is_primary:
        return False
    return received.term == position.term and received.offset >= position.offset
