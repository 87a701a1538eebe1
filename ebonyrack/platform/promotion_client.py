"""Client of the platform's endpoint that promotes an upstream to primary."""

from __future__ import annotations

import json

from result import Err
from result import Ok
from result import Result

from ebonyrack.core.address import Address
from ebonyrack.core.component import Component
from ebonyrack.core.socket_options import KEEPALIVE_OPTIONS
from ebonyrack.promotion.order import OrderOutcome
from ebonyrack.promotion.order import PromotionOrder
from ebonyrack.store.http_client import HttpClient
from ebonyrack.store.http_client import HttpRequest
from ebonyrack.store.store_response import StoreErrorKind

# Replies take milliseconds; after this time an order counts as unanswered.
ORDER_TIMEOUT_S = 0.6
STATUS_ACCEPTED = 200
STATUS_REJECTED_TOKEN = 409


class PromotionClient(Component):
    """Client of the promotion endpoint: an async context manager.

    Attributes:
        client: HTTP connections to the platform.
    """

    __slots__ = ("client",)

    def __init__(self, address: Address) -> None:
        self.client = HttpClient(address, KEEPALIVE_OPTIONS)

    async def start(self) -> None:
        """Start the HTTP client, which connects on demand."""
        await self.client.start()

    async def stop(self) -> None:
        """Close the connections."""
        await self.client.stop()

    async def promote(self, order: PromotionOrder) -> Result[OrderOutcome, str]:
        """Order the promotion of an upstream to primary.

        Args:
            order: Group, upstream, lease holder and fencing token.

        Returns:
            The outcome of the order, or why it is certain that it had no effect.
        """
        body = {"service": order.group, "id": order.member_id}
        headers = (
            ("Content-Type", "application/json"),
            ("X-Lease-Holder", order.holder),
            ("X-Fencing-Token", str(order.fencing_token)),
        )
        data = json.dumps(body).encode()
        request = HttpRequest("POST", "/promote", data, headers, ORDER_TIMEOUT_S)
        response = await self.client.send(request)
        if isinstance(response, Err):
            if response.err_value.kind is StoreErrorKind.UNREACHABLE:
                return Err(response.err_value.reason)
            return Ok(OrderOutcome.UNANSWERED)
        status = response.ok_value.status
        if status == STATUS_ACCEPTED:
            return Ok(OrderOutcome.ACCEPTED)
        if status == STATUS_REJECTED_TOKEN:
            return Ok(OrderOutcome.REFUSED)
        return Err(f"the platform replied with status {status}")
