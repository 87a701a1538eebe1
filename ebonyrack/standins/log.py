"""The log of committed transactions of a stand-in upstream."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from ebonyrack.core.position import LOG_START
from ebonyrack.core.position import LogPosition

SqlValue = int | float | str | bytes | None


@dataclass(frozen=True, slots=True)
class LoggedStatement:
    """One writing statement as it ran, in the engine's own SQL."""

    sql: str
    values: tuple[SqlValue, ...]


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One committed transaction, or the start of a term if it has no statements.

    Attributes:
        position: Term and offset of the entry.
        time_us: Wall time at the start of the transaction, in microseconds.
        statements: Writing statements in their order.
    """

    position: LogPosition
    time_us: int
    statements: tuple[LoggedStatement, ...]


@dataclass(frozen=True, slots=True)
class TermRange:
    """The run of entries that one term wrote."""

    term: int
    first: int
    last: int


class TransactionLog:
    """Entries in order; it stands for what an upstream keeps on its disk.

    Attributes:
        entries: Entry of offset N at index N - 1.
        ranges: Runs of entries with the same term.
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
        """Return whether the entry at an offset has exactly this term."""
        if not 1 <= position.offset <= len(self.entries):
            return False
        return self.entries[position.offset - 1].position == position

    def append(self, entry: LogEntry) -> None:
        """Add the next entry.

        Raises:
            ValueError: If the entry doesn't come right after the last.
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
        """Drop every entry after an offset."""
        del self.entries[offset:]
        kept = [run for run in self.ranges if run.first <= offset]
        if kept:
            kept[-1] = TermRange(
                kept[-1].term, kept[-1].first, min(kept[-1].last, offset)
            )
        self.ranges = kept

    def find_common_offset(self, others: list[TermRange]) -> int:
        """Return up to which offset this log and another hold the same entries.

        A term has one writer that only appends, so the same term at the same
        offset means the same entry and the same entries before it.

        Args:
            others: Runs of the other log.
        """
        own = {run.term: run for run in self.ranges}
        for run in reversed(others):
            match = own.get(run.term)
            if match is not None and match.first == run.first:
                return min(match.last, run.last)
        return 0


class PositionWaiters:
    """Waits for a position that only grows, except when a log is cut back.

    Attributes:
        reached: The present position.
        waiting: Positions waited for, with the future to resolve.
    """

    __slots__ = ("reached", "waiting")

    def __init__(self) -> None:
        self.reached = LOG_START
        self.waiting: list[tuple[LogPosition, asyncio.Future[None]]] = []

    def advance(self, position: LogPosition) -> None:
        """Set the present position and wake the waits that it satisfies."""
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
        """Wait until a position is reached, at most for a time.

        Args:
            position: Position to wait for.
            limit_s: Longest wait, in seconds.

        Returns:
            Whether it was reached.
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
