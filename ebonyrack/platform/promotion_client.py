"""The platform's call that makes an upstream the primary of its group."""

from __future__ import annotations

import json

from result import Err
from result import Ok
from result import Result

from ebonyrack.core.address import Address
from ebonyrack.core.component import Component
from ebonyrack.promotion.order import OrderOutcome
from ebonyrack.promotion.order import PromotionOrder
from ebonyrack.store.http_client import KEEPALIVE_OPTIONS
from ebonyrack.store.http_client import HttpClient
from ebonyrack.store.http_client import HttpRequest
from ebonyrack.store.store_response import StoreErrorKind

# Orders are answered in milliseconds; after this one counts as unanswered.
ORDER_TIMEOUT_S = 0.6
ACCEPTED = 200
REFUSED_BY_TOKEN = 409


class PromotionClient(Component):
    """Client of the promotion calls: an async context manager.

    Attributes:
        client: HTTP connections.
    """

    __slots__ = ("client",)

    def __init__(self, address: Address) -> None:
        self.client = HttpClient(address, KEEPALIVE_OPTIONS)

    async def start(self) -> None:
        """Prepare for HTTP connections."""
        await self.client.start()

    async def stop(self) -> None:
        """Close the connections."""
        await self.client.stop()

    async def promote(self, order: PromotionOrder) -> Result[OrderOutcome, str]:
        """Order that an upstream becomes the primary.

        Args:
            order: Group, upstream, holder and fencing token.

        Returns:
            What became of the order, or why it is known that nothing did.
        """
        body = {"service": order.group, "id": order.member_id}
        headers = (
            ("Content-Type", "application/json"),
            ("X-Lease-Holder", order.holder),
            ("X-Fencing-Token", str(order.fencing_token)),
        )
        data = json.dumps(body).encode()
        call = HttpRequest("POST", "/promote", data, headers, ORDER_TIMEOUT_S)
        answer = await self.client.send(call)
        if isinstance(answer, Err):
            if answer.err_value.kind is StoreErrorKind.UNREACHABLE:
                return Err(answer.err_value.reason)
            return Ok(OrderOutcome.UNANSWERED)
        status = answer.ok_value.status
        if status == ACCEPTED:
            return Ok(OrderOutcome.ACCEPTED)
        if status == REFUSED_BY_TOKEN:
            return Ok(OrderOutcome.REFUSED)
        return Err(f"the platform answered {status}")
