"""The order that makes an upstream the primary of its group."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from result import Result


@dataclass(frozen=True, slots=True)
class PromotionOrder:
    """One order.

    Attributes:
        group: The database group.
        member_id: The upstream that is to lead.
        holder: Name of the proxy that orders.
        fencing_token: Number that grows with each holder of the duty.
    """

    group: str
    member_id: str
    holder: str
    fencing_token: int


class OrderOutcome(StrEnum):
    """What is known of an order.

    An unanswered one may be carried out later. A refused one names a token below
    one that was seen, or an upstream that doesn't run.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNANSWERED = "unanswered"


class PromotionOrderClient(Protocol):
    """Takes orders."""

    async def promote(self, order: PromotionOrder) -> Result[OrderOutcome, str]:
        """Order that an upstream becomes the primary."""
