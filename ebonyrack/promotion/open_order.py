"""Promotion orders whose fate is unknown, kept in the store.

A platform that doesn't fence orders carries out an order without a response some
seconds later, whatever was ordered meanwhile. Until that can't happen any more, no
other upstream may be promoted.
"""

from __future__ import annotations

from loguru import logger
from msgspec import Struct
from result import Err
from result import Ok
from result import Result

from ebonyrack.core.clock import boot_time_s
from ebonyrack.core.decoding import parse_integer
from ebonyrack.store.leasing_store import LeasingStore
from ebonyrack.store.leasing_store import StoreItem
from ebonyrack.store.leasing_store import StoreWrite
from ebonyrack.store.store_response import StoreError
from ebonyrack.store.store_response import StoreErrorKind

PREFIX = "ebonyrack/orders/"
# An order without a response is carried out within this time or never.
LATE_ORDER_LIMIT_S = 8.0


class OpenOrder(Struct, frozen=True):
    """An order that was sent, or was about to be, without a known fate.

    Attributes:
        member_id: The upstream to be promoted.
        fencing_token: Token of the order.
        revision: Store revision of the record.
    """

    member_id: str
    fencing_token: int
    revision: int


class OpenOrderRecord:
    """The record of a group's open order in the store.

    Attributes:
        store: The store.
        group: Name of the group.
        seen: The open order that was last seen, or None.
        seen_at_s: Time at which it was first seen, on the boot clock.
        generation: Generation of the store in which a record was never lost.
    """

    __slots__ = ("store", "group", "seen", "seen_at_s", "generation")

    def __init__(self, store: LeasingStore, group: str) -> None:
        self.store = store
        self.group = group
        self.seen: OpenOrder | None = None
        self.seen_at_s = 0.0
        self.generation = store.generation

    @property
    def key(self) -> str:
        """Key of the record in the store."""
        return PREFIX + self.group

    @property
    def awaited(self) -> OpenOrder | None:
        """The open order that may still be carried out, or None."""
        if boot_time_s() - self.seen_at_s > LATE_ORDER_LIMIT_S:
            return None
        return self.seen

    @property
    def may_be_lost(self) -> bool:
        """Whether the store was restored while an order may still be carried out."""
        if self.store.generation == self.generation:
            return False
        return boot_time_s() - self.store.generation_seen_s < LATE_ORDER_LIMIT_S

    async def read(self) -> Result[OpenOrder | None, StoreError]:
        """Read the record.

        Returns:
            The order that may still be carried out, or why it isn't known.
        """
        if self.may_be_lost:
            reason = "the store may have forgotten an order"
            return Err(StoreError(StoreErrorKind.UNKNOWN, reason))
        found = await self.store.read_key(self.key)
        if isinstance(found, Err):
            return found
        self.remember(parse_open_order(found.ok_value))
        return Ok(self.awaited)

    def remember(self, order: OpenOrder | None) -> None:
        """Remember an open order; its time counts from when it was first seen.

        An order that is repeated is recorded again.
        """
        known = self.seen
        self.seen = order
        if order is None:
            return
        if known is None or known.revision != order.revision:
            self.seen_at_s = boot_time_s()

    async def write(self, member_id: str, fencing_token: int) -> bool:
        """Record an order before it is sent.

        Args:
            member_id: The upstream to be promoted.
            fencing_token: Token of the order.

        Returns:
            Whether it is recorded; if not, the order must not be sent.
        """
        revision = self.seen.revision if self.seen is not None else 0
        value = f"{member_id} {fencing_token}".encode()
        written = await self.store.write(StoreWrite(self.key, value, 0, revision))
        if isinstance(written, Err):
            self.log_not_recorded(written.err_value.reason)
            return False
        if written.ok_value is None:
            self.log_not_recorded("the record has changed")
            return False
        self.remember(OpenOrder(member_id, fencing_token, written.ok_value))
        return True

    def log_not_recorded(self, reason: str) -> None:
        """Log why an order was not recorded, so that it is not sent."""
        logger.bind(group=self.group, reason=reason).warning("order_not_recorded")

    async def delete(self) -> None:
        """Delete the record of an order whose fate is known."""
        order, self.seen = self.seen, None
        if order is None:
            return
        deleted = await self.store.delete(self.key, order.revision)
        if isinstance(deleted, Err):
            # The next attempt takes the order as open, which is safe.
            logger.bind(group=self.group, reason=deleted.err_value.reason).warning(
                "order_record_not_deleted"
            )


def parse_open_order(item: StoreItem | None) -> OpenOrder | None:
    """Return the open order that an item records, None without a valid one."""
    if item is None:
        return None
    member_id, _, token = item.value.decode("utf-8", "replace").partition(" ")
    number = parse_integer(token, highest=2**127)
    if number is None:
        logger.bind(key=item.key).warning("order_record_unreadable")
        return OpenOrder(member_id, 0, item.revision)
    return OpenOrder(member_id, number, item.revision)
