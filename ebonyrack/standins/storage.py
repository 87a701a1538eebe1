"""What one upstream of the stand-in group stores: its log and its database."""

from __future__ import annotations

import asyncio

from ebonyrack.core.position import LogPosition
from ebonyrack.standins.locks import LockTable
from ebonyrack.standins.log import LogEntry
from ebonyrack.standins.log import PositionWaiters
from ebonyrack.standins.log import TransactionLog
from ebonyrack.standins.sql_engine import Database
from ebonyrack.standins.sql_error import SqlError
from ebonyrack.standins.transaction import Transaction

SNAPSHOT_ENTRIES = 200


class Storage:
    """A log of transactions, and the database that its applied part adds up to.

    Attributes:
        log: Committed transactions.
        database: What the applied part of the log adds up to.
        received: Waits for the end of the log.
        applied: Waits for what reads show.
        locks: Values that open transactions write.
        appended: Set and replaced at each new entry, for the senders of the log.
    """

    __slots__ = ("log", "database", "received", "applied", "locks", "appended")

    def __init__(self) -> None:
        self.log = TransactionLog()
        self.database = Database()
        self.received = PositionWaiters()
        self.applied = PositionWaiters()
        self.locks = LockTable()
        self.appended = asyncio.Event()

    def append(self, entry: LogEntry) -> None:
        """Add an entry to the log and wake those who wait for it."""
        self.log.append(entry)
        self.received.advance(entry.position)
        self.wake_senders()

    def wake_senders(self) -> None:
        """Let the senders of the log look again."""
        self.appended.set()
        self.appended = asyncio.Event()

    def apply_received(self, limit: LogPosition) -> None:
        """Show received entries up to a position in reads."""
        applied = self.applied.reached
        while applied < limit and applied.offset < len(self.log.entries):
            entry = self.log.entries[applied.offset]
            self.database.apply(entry)
            applied = entry.position
            self.snapshot_if_due(applied.offset)
        self.applied.advance(applied)

    def snapshot_if_due(self, offset: int) -> None:
        """Keep the state at every so many entries of the log."""
        if offset % SNAPSHOT_ENTRIES == 0:
            self.database.take_snapshot(offset)

    def commit(self, transaction: Transaction, term: int) -> LogPosition:
        """Commit a write transaction together with its log entry.

        Args:
            transaction: The transaction.
            term: Term of the primary that commits it.

        Returns:
            Position of its entry.

        Raises:
            SqlError: If a concurrent write came first (40001).
        """
        position = LogPosition(term, len(self.log.entries) + 1)
        entry = LogEntry(position, transaction.time_us, tuple(transaction.statements))
        try:
            self.database.commit(entry, transaction)
        except SqlError:
            self.rollback(transaction)
            raise
        self.append(entry)
        self.snapshot_if_due(position.offset)
        self.applied.advance(position)
        self.locks.release(transaction)
        return position

    def rollback(self, transaction: Transaction) -> None:
        """Roll a transaction back and let those in that wait for it."""
        if transaction.is_writing:
            transaction.is_writing = False
            self.database.rollback(transaction)
            self.locks.release(transaction)

    def rebuild(self, offset: int) -> None:
        """Cut the log back to an offset and bring the database to its end.

        It starts from a snapshot, since a replay of the whole log would hold up
        the other upstreams of the process for seconds.
        """
        self.log.truncate(offset)
        start = self.database.go_back(offset)
        for entry in self.log.entries[start:]:
            self.database.apply(entry)
        self.received.advance(self.log.last)
        self.applied.advance(self.log.last)
