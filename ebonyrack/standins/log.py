"""The log of committed transactions of a stand-in upstream."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from ebonyrack.core.position import LOG_START
from ebonyrack.core.position import LogPosition

SqlValue = int | float | str | bytes | None


@dataclass(frozen=True, slots=True)
class LoggedStatement:
    """An executed write statement in the SQL dialect of the engine."""

    sql: str
    values: tuple[SqlValue, ...]


@dataclass(frozen=True, slots=True)
class LogEntry:
    """A committed transaction, or the start of a term if it has no statements.

    Attributes:
        position: Term and offset of the entry.
        time_us: Unix time of the transaction's first write, in microseconds.
        statements: Write statements in the order of their execution.
    """

    position: LogPosition
    time_us: int
    statements: tuple[LoggedStatement, ...]


@dataclass(frozen=True, slots=True)
class TermRange:
    """The offsets of the first and the last entry of one term."""

    term: int
    first: int
    last: int


class TransactionLog:
    """Entries in order of offset; it represents an upstream's persistent log.

    Attributes:
        entries: Entry of offset N at index N - 1.
        ranges: Range of each term in the log, in order.
    """

    __slots__ = ("entries", "ranges")

    def __init__(self) -> None:
        self.entries: list[LogEntry] = []
        self.ranges: list[TermRange] = []

    @property
    def last(self) -> LogPosition:
        """Position of the last entry."""
        return self.entries[-1].position if self.entries else LOG_START

    def holds(self, position: LogPosition) -> bool:
        """Return whether the log contains the entry at a position."""
        if not 1 <= position.offset <= len(self.entries):
            return False
        return self.entries[position.offset - 1].position == position

    def append(self, entry: LogEntry) -> None:
        """Append an entry.

        Raises:
            ValueError: If its offset isn't the next one or its term is lower than the
                last.
        """
        term, offset = entry.position.term, entry.position.offset
        if offset != len(self.entries) + 1 or term < self.last.term:
            raise ValueError(f"entry {entry.position} can't follow {self.last}")
        self.entries.append(entry)
        if self.ranges and self.ranges[-1].term == term:
            self.ranges[-1] = TermRange(term, self.ranges[-1].first, offset)
        else:
            self.ranges.append(TermRange(term, offset, offset))

    def truncate(self, offset: int) -> None:
        """Remove all entries after an offset."""
        del self.entries[offset:]
        kept = [term_range for term_range in self.ranges if term_range.first <= offset]
        if kept:
            kept[-1] = TermRange(
                kept[-1].term, kept[-1].first, min(kept[-1].last, offset)
            )
        self.ranges = kept

    def find_common_offset(self, others: list[TermRange]) -> int:
        """Return the last offset up to which this log equals another.

        A term has a single writer that only appends, so the same term at the same
        offset means the same entry and the same entries before it.

        Args:
            others: Term ranges of the other log.
        """
        local_ranges = {term_range.term: term_range for term_range in self.ranges}
        for term_range in reversed(others):
            match = local_ranges.get(term_range.term)
            if match is not None and match.first == term_range.first:
                return min(match.last, term_range.last)
        return 0


class PositionWaiters:
    """Waits for a log position, which decreases only when the log is truncated.

    Attributes:
        reached: The current position.
        waiting: Each awaited position with the future to resolve.
    """

    __slots__ = ("reached", "waiting")

    def __init__(self) -> None:
        self.reached = LOG_START
        self.waiting: list[tuple[LogPosition, asyncio.Future[None]]] = []

    def advance(self, position: LogPosition) -> None:
        """Set the current position and wake the waits that it satisfies."""
        self.reached = position
        if not self.waiting:
            return
        remaining = []
        for wanted, future in self.waiting:
            if future.done():
                continue
            if wanted <= position:
                future.set_result(None)
            else:
                remaining.append((wanted, future))
        self.waiting = remaining

    async def wait_for(self, position: LogPosition, limit_s: float) -> bool:
        """Wait until a position is reached or the time is over.

        Args:
            position: Position to wait for.
            limit_s: Maximum wait in seconds.

        Returns:
            Whether the position was reached.
        """
        if self.reached >= position:
            return True
        future = asyncio.get_running_loop().create_future()
        self.waiting.append((position, future))
        try:
            async with asyncio.timeout(limit_s):
                await future
        except TimeoutError:
            return False
        finally:
            future.cancel()
        return True
