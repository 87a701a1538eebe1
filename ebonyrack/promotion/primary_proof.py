"""Shows during a promotion whether an upstream is the primary, and records it."""

from __future__ import annotations

from ebonyrack.members.group import Group
from ebonyrack.promotion.participant import PromotionParticipant
from ebonyrack.requests.request import STATUS_REQUEST


async def is_serving_primary(
    group: Group, participant: PromotionParticipant, newest_term: int = 0
) -> bool:
    """Return whether an upstream is the primary after all, and record it.

    Args:
        group: The group.
        participant: The upstream.
        newest_term: Newest term that an upstream of the group has told.
    """
    status = participant.status
    if status is None or not status.is_primary:
        return False
    if status.term < max(group.primary_tracker.confirmed_term, newest_term):
        # A replaced primary may go on as if it led.
        return False
    return await prove_primary(group, participant)


async def prove_primary(group: Group, participant: PromotionParticipant) -> bool:
    """Probe whether an upstream is the primary, and record it if so."""
    proof = await participant.prove_primary()
    if proof is None:
        return False
    if group.leadership is None:
        group.record_primary_reply(participant.member, proof.sent_at_s, proof.position)
        return True
    # Only the status tells the term in which the upstream leads.
    status = await participant.request_status(STATUS_REQUEST)
    if status is None or not status.is_primary:
        return False
    group.record_status(participant.member, status)
    return group.primary is participant.member
