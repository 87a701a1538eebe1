"""Decides what a replica's status says about who leads a group.

A platform that doesn't fence promotions lets a replaced primary go on as if it led, so
its own replies prove nothing. Every promotion therefore begins by pausing all replicas:
a replica that is still receiving in the primary's term shows that nobody had ordered
another primary when it replied.
"""

from __future__ import annotations

from enum import StrEnum

from ebonyrack.requests.reply import UpstreamStatus

# A replica shows nothing for this long after it became known: a promotion that began
# before may not have paused it. A promotion lease lasts less long.
MINIMUM_KNOWN_S = 4.0
# The same after it refused a connection: it may have restarted, which ends a pause. The
# holder of the promotion lease pauses it again, or the new primary reaches it.
MINIMUM_RUNNING_S = 1.0


class LeadershipVerdict(StrEnum):
    """What the status of a replica says about the presumed primary."""

    LEADS = "leads"
    CHANGING = "changing"
    REPLACED = "replaced"
    INCONCLUSIVE = "inconclusive"


def judge_replica_status(
    status: UpstreamStatus, primary_term: int
) -> LeadershipVerdict:
    """Return what the status of an upstream says about another one that led a term.

    Args:
        status: Status of an upstream other than the presumed primary.
        primary_term: Term that the presumed primary leads.
    """
    if status.term > primary_term:
        return LeadershipVerdict.REPLACED
    if status.paused_term > primary_term:
        return LeadershipVerdict.CHANGING
    if status.is_primary or status.term < primary_term:
        return LeadershipVerdict.INCONCLUSIVE
    return LeadershipVerdict.LEADS
