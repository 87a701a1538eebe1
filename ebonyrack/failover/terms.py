"""Allocation of terms that are unique to this process."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from ebonyrack.store.consul_store import ConsulStore

SLOT_COUNTER_KEY = "term-slots"
# A term is `round * MAXIMUM_SLOTS + slot`.
MAXIMUM_SLOTS = 2**20
FIRST_RETRY_S = 0.1
LONGEST_RETRY_S = 2.0


class TermSource:
    """Issues the terms of one process.

    Each process reserves a unique slot number once, from a counter in the store. The
    slot yields one term per round, so later failovers don't need the store.

    Attributes:
        slot: The reserved slot number, or None.
        last_term: Highest term that was issued.
    """

    __slots__ = ("slot", "last_term")

    def __init__(self) -> None:
        self.slot: int | None = None
        self.last_term = 0

    async def reserve(self, store: ConsulStore) -> None:
        """Reserve a slot; retry until it succeeds.

        A lost reply wastes one slot number, as the next attempt reserves another.

        Args:
            store: The platform's store.

        Raises:
            OverflowError: If every slot number has been used.
        """
        delay_s = FIRST_RETRY_S
        while self.slot is None:
            self.slot = await reserve_next_slot(store)
            if self.slot is None:
                await asyncio.sleep(random.uniform(delay_s / 2, delay_s))
                delay_s = min(2 * delay_s, LONGEST_RETRY_S)
        logger.bind(slot=self.slot).info("term_slot_reserved")

    def next_term(self, above: int) -> int | None:
        """Issue a term.

        Args:
            above: Highest term known so far.

        Returns:
            The lowest unused term of the slot above it, or None without a slot.
        """
        if self.slot is None:
            return None
        above = max(above, self.last_term)
        term = above // MAXIMUM_SLOTS * MAXIMUM_SLOTS + self.slot
        if term <= above:
            term += MAXIMUM_SLOTS
        self.last_term = term
        return term


async def reserve_next_slot(store: ConsulStore) -> int | None:
    """Attempt once to reserve the next slot number.

    Args:
        store: The platform's store.

    Returns:
        The slot number, or None if another process was faster or the store failed.

    Raises:
        OverflowError: If every slot number has been used.
    """
    found = await store.get(SLOT_COUNTER_KEY)
    if found.is_err():
        logger.bind(reason=str(found.unwrap_err())).warning("term_slot_not_reserved")
        return None
    value = found.unwrap()
    slot = int(value.value) + 1 if value is not None else 1
    if slot >= MAXIMUM_SLOTS:
        raise OverflowError("all slots of the term counter have been used")
    index = value.index if value is not None else 0
    swapped = await store.compare_and_swap(SLOT_COUNTER_KEY, b"%d" % slot, index)
    if swapped.is_err():
        logger.bind(reason=str(swapped.unwrap_err())).warning("term_slot_not_reserved")
        return None
    return slot if swapped.unwrap() else None
