"""The order to the platform to promote an upstream."""

from __future__ import annotations

from enum import StrEnum
from typing import Protocol

from msgspec import Struct
from result import Result


class PromotionOrder(Struct, frozen=True):
    """An order to promote one upstream.

    Attributes:
        group: The database group.
        member_id: The upstream to be promoted.
        holder: Name of the proxy that holds the promotion lease.
        fencing_token: Number that grows with each acquisition of the lease.
    """

    group: str
    member_id: str
    holder: str
    fencing_token: int


class OrderOutcome(StrEnum):
    """Outcome of an order, as far as it is known.

    An unanswered order may be carried out later. A refused one has a token below one
    that the platform has seen, or names an upstream that doesn't run.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNANSWERED = "unanswered"


class PromotionOrderClient(Protocol):
    """Sends orders to the platform."""

    async def promote(self, order: PromotionOrder) -> Result[OrderOutcome, str]:
        """Order a promotion; an error means that the order was not accepted."""
