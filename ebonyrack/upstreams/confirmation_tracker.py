"""Writes that wait until a majority of the upstreams holds them."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ebonyrack.core.notifier import Notifier
from ebonyrack.upstreams.status import Role

if TYPE_CHECKING:
    from ebonyrack.upstreams.status import UpstreamStatus


@dataclass(order=True, slots=True)
class PendingConfirmation:
    """One write that waits.

    Attributes:
        offset: Offset of its commit in the present term.
        number: Order of arrival, which breaks ties.
        outcome: Set to whether it was confirmed before the term ended.
    """

    offset: int
    number: int
    outcome: asyncio.Future[bool] = field(compare=False)


class ConfirmationTracker:
    """The waiting writes of one term and what each replica holds of it.

    A replica counts only while it follows the term and has granted no higher one:
    then its grant to any later ballot reports what it holds now. What it held once
    in the term it keeps, so the highest answer counts.

    Attributes:
        term: The term.
        primary_name: Name of the term's primary. It is counted already, also when it
            has restarted and answers as a replica of its own term.
        needed: Replicas that must hold a write, the primary not counted.
        held: Replica's name to the last offset that it holds.
        confirmed: Offset up to which a majority holds the log.
        waiting: Waiting writes, lowest offset first.
        added: Notified when a write begins to wait and when the term is over.
    """

    __slots__ = (
        "term",
        "primary_name",
        "needed",
        "held",
        "confirmed",
        "waiting",
        "added",
        "numbers",
    )

    def __init__(self, term: int, primary_name: str | None, needed: int) -> None:
        self.term = term
        self.primary_name = primary_name
        self.needed = needed
        self.held: dict[str, int] = {}
        self.confirmed = 0
        self.waiting: list[PendingConfirmation] = []
        self.added = Notifier()
        self.numbers = itertools.count()

    def observe(self, name: str, status: UpstreamStatus) -> bool:
        """Count what a replica holds and settle the writes that it covers.

        Args:
            name: Name of the upstream.
            status: Its answer.

        Returns:
            Whether it holds more than it was counted with before.
        """
        if name == self.primary_name or not counts_for(status, self.term):
            return False
        offset = status.received.offset
        if offset <= self.held.get(name, 0):
            return False
        self.held[name] = offset
        self.settle()
        return True

    def forget(self, name: str) -> None:
        """Count a replica no more with what it held.

        Args:
            name: Name of the replica, which has lost its log.
        """
        self.held.pop(name, None)

    def settle(self) -> None:
        """Confirm every write that enough replicas hold."""
        offsets = sorted(self.held.values(), reverse=True)
        if self.needed and len(offsets) >= self.needed:
            self.confirmed = max(self.confirmed, offsets[self.needed - 1])
        while self.waiting and (
            self.waiting[0].outcome.done() or self.waiting[0].offset <= self.confirmed
        ):
            entry = heapq.heappop(self.waiting)
            if not entry.outcome.done():
                entry.outcome.set_result(True)

    async def wait(self, offset: int) -> bool:
        """Wait until a write is confirmed or the term is over.

        Args:
            offset: Offset of its commit.

        Returns:
            Whether it was confirmed; False if the term ended first.
        """
        if offset <= self.confirmed or self.needed == 0:
            return True
        outcome: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        heapq.heappush(
            self.waiting, PendingConfirmation(offset, next(self.numbers), outcome)
        )
        self.added.notify()
        try:
            return await outcome
        finally:
            outcome.cancel()

    def find_lowest_missing(self, name: str) -> int | None:
        """Return the lowest offset waited for that a replica is not known to hold.

        Args:
            name: Name of the replica.

        Returns:
            The offset, or None if nothing is missing there.
        """
        held = self.held.get(name, 0)
        missing = (
            entry.offset
            for entry in self.waiting
            if entry.offset > held and not entry.outcome.done()
        )
        return min(missing, default=None)

    def end_term(self) -> None:
        """Tell every waiting write that the term is over."""
        for entry in self.waiting:
            if not entry.outcome.done():
                entry.outcome.set_result(False)
        self.waiting.clear()
        self.added.notify()


def counts_for(status: UpstreamStatus, term: int) -> bool:
    """Tell whether a replica's answer may confirm writes of a term.

    Args:
        status: The answer.
        term: The term.

    Returns:
        Whether it follows the term, granted no higher one and holds entries of it.
    """
    return (
        status.role is Role.REPLICA
        and status.term == term
        and status.fenced_term <= term
        and status.received.term == term
    )
