"""The result of one attempt to change a group's primary."""

from __future__ import annotations

from enum import StrEnum


class PromotionResult(StrEnum):
    """Result of one attempt to change the primary."""

    PROMOTED = "leads"
    NOT_NEEDED = "not_needed"
    LEASE_NOT_HELD = "not_held"
    NO_SAFE_SUCCESSOR = "no_safe_successor"
    REFUSED = "refused"
    NOT_ACCEPTED = "not_taken"
    UNANSWERED = "unanswered"
    NOT_PRIMARY = "not_leading"


# Results after which the order will certainly not be carried out.
KNOWN_NOT_CARRIED_OUT = frozenset(
    {
        PromotionResult.LEASE_NOT_HELD,
        PromotionResult.REFUSED,
        PromotionResult.NOT_ACCEPTED,
    }
)
