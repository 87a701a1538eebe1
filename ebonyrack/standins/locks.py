"""Locks that keep open write transactions apart."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from ebonyrack.standins.sql_error import SqlError
from ebonyrack.standins.transaction import Transaction

WAIT_LIMIT_S = 5.0


class ValueLocks:
    """Lets one open transaction at a time write a value.

    Rows aren't known before a statement runs, so the values that it names stand
    for them: two transactions that write the same key wait for each other.

    Attributes:
        holders: Transaction that holds each value.
        released: Set and replaced whenever values come free.
    """

    __slots__ = ("holders", "released")

    def __init__(self) -> None:
        self.holders: dict[str, Transaction] = {}
        self.released = asyncio.Event()

    def is_free(self, values: Iterable[str], transaction: Transaction) -> bool:
        """Return whether no other transaction holds one of the values."""
        return all(
            self.holders.get(value, transaction) is transaction for value in values
        )

    async def acquire(self, values: frozenset[str], transaction: Transaction) -> None:
        """Wait until the values are free and hold them.

        Args:
            values: The values.
            transaction: Who holds them from then on.

        Raises:
            SqlError: If they don't come free within the limit (40P01).
        """
        try:
            async with asyncio.timeout(WAIT_LIMIT_S):
                while not self.is_free(values, transaction):
                    await self.released.wait()
        except TimeoutError:
            raise SqlError("40P01", "waited too long for another writer") from None
        transaction.claims |= values
        self.holders.update(dict.fromkeys(values, transaction))

    def release(self, transaction: Transaction) -> None:
        """Let go what a transaction holds."""
        for value in transaction.claims:
            del self.holders[value]
        transaction.claims.clear()
        self.released.set()
        self.released = asyncio.Event()
