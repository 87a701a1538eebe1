"""Tracks which committed writes are stored by a majority of the upstreams."""

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
    """A write that waits for its confirmation.

    Attributes:
        offset: Offset of its commit in the current term.
        number: Order of arrival, which breaks ties.
        outcome: Resolved to whether it was confirmed before the term ended.
    """

    offset: int
    number: int
    outcome: asyncio.Future[bool] = field(compare=False)


class ConfirmationTracker:
    """Pending writes of one term and the log offset that each replica has received.

    A replica is counted only while it follows the term and has granted no higher
    one: when it grants a later term, it then reports at least what it holds now. Within
    the term a replica keeps what it has received, so its highest report counts.

    Attributes:
        term: The term.
        primary_name: Name of the term's primary. It already counts towards the
            majority and must not be counted again, even if it has restarted and
            reports as a replica of its own term.
        required_replicas: Number of replicas that must hold a write, not counting the
            primary.
        held_offsets: Last offset that each replica holds, by name.
        confirmed_offset: Offset up to which a majority holds the log.
        pending: Heap of the pending writes, lowest offset first.
        pending_changed: Notified when a pending write is added and when the term ends.
    """

    __slots__ = (
        "term",
        "primary_name",
        "required_replicas",
        "held_offsets",
        "confirmed_offset",
        "pending",
        "pending_changed",
        "numbers",
    )

    def __init__(
        self, term: int, primary_name: str | None, required_replicas: int
    ) -> None:
        self.term = term
        self.primary_name = primary_name
        self.required_replicas = required_replicas
        self.held_offsets: dict[str, int] = {}
        self.confirmed_offset = 0
        self.pending: list[PendingConfirmation] = []
        self.pending_changed = Notifier()
        self.numbers = itertools.count()

    def observe(self, name: str, status: UpstreamStatus) -> bool:
        """Record what a replica holds and resolve the writes confirmed by it.

        Args:
            name: Name of the upstream.
            status: Its reported status.

        Returns:
            Whether the replica's recorded offset advanced.
        """
        if name == self.primary_name or not can_confirm(status, self.term):
            return False
        offset = status.received.offset
        if offset <= self.held_offsets.get(name, 0):
            return False
        self.held_offsets[name] = offset
        self.resolve_confirmed()
        return True

    def discard_replica(self, name: str) -> None:
        """Discard the recorded offset of a replica that has lost its log.

        Args:
            name: Name of the replica.
        """
        self.held_offsets.pop(name, None)

    def resolve_confirmed(self) -> None:
        """Resolve every pending write that enough replicas hold."""
        offsets = sorted(self.held_offsets.values(), reverse=True)
        if self.required_replicas and len(offsets) >= self.required_replicas:
            self.confirmed_offset = max(
                self.confirmed_offset, offsets[self.required_replicas - 1]
            )
        while self.pending and (
            self.pending[0].outcome.done()
            or self.pending[0].offset <= self.confirmed_offset
        ):
            entry = heapq.heappop(self.pending)
            if not entry.outcome.done():
                entry.outcome.set_result(True)

    async def wait(self, offset: int) -> bool:
        """Wait until a write is confirmed or the term ends.

        Args:
            offset: Offset of its commit.

        Returns:
            Whether it was confirmed; False if the term ended first.
        """
        if offset <= self.confirmed_offset or self.required_replicas == 0:
            return True
        outcome: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        heapq.heappush(
            self.pending, PendingConfirmation(offset, next(self.numbers), outcome)
        )
        self.pending_changed.notify()
        try:
            return await outcome
        finally:
            outcome.cancel()

    def find_lowest_missing(self, name: str) -> int | None:
        """Return the lowest pending offset that a replica is not known to hold.

        Args:
            name: Name of the replica.

        Returns:
            The offset, or None if the replica holds every pending write.
        """
        held = self.held_offsets.get(name, 0)
        missing = (
            entry.offset
            for entry in self.pending
            if entry.offset > held and not entry.outcome.done()
        )
        return min(missing, default=None)

    def end_term(self) -> None:
        """Resolve every pending write as not confirmed, since the term is over."""
        for entry in self.pending:
            if not entry.outcome.done():
                entry.outcome.set_result(False)
        self.pending.clear()
        self.pending_changed.notify()


def can_confirm(status: UpstreamStatus, term: int) -> bool:
    """Return whether a status report may confirm writes of a term.

    Args:
        status: The reported status.
        term: The term.

    Returns:
        Whether the upstream is a replica that follows the term, has granted no higher
        one and has received entries of it.
    """
    return (
        status.role is Role.REPLICA
        and status.term == term
        and status.fenced_term <= term
        and status.received.term == term
    )
