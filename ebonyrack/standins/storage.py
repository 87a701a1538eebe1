"""Storage of a stand-in upstream: its log and its database."""

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
    """A transaction log and the database with its applied entries.

    Attributes:
        log: Committed transactions.
        database: Database to which entries of the log are applied.
        received: Position of the last entry of the log, and waits for it.
        applied: Position of the last applied entry, and waits for it.
        locks: Locks of open write transactions.
        appended: Set and replaced at each new entry to wake the log senders.
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
        """Append an entry to the log and wake the tasks that wait for it."""
        self.log.append(entry)
        self.received.advance(entry.position)
        self.wake_senders()

    def wake_senders(self) -> None:
        """Wake the log senders, so that they check the log and the role again."""
        self.appended.set()
        self.appended = asyncio.Event()

    def apply_received(self, limit: LogPosition) -> None:
        """Apply received entries up to a position, so that reads see them."""
        applied = self.applied.reached
        while applied < limit and applied.offset < len(self.log.entries):
            entry = self.log.entries[applied.offset]
            self.database.apply(entry)
            applied = entry.position
            self.snapshot_if_due(applied.offset)
        self.applied.advance(applied)

    def snapshot_if_due(self, offset: int) -> None:
        """Take a snapshot every SNAPSHOT_ENTRIES log entries."""
        if offset % SNAPSHOT_ENTRIES == 0:
            self.database.take_snapshot(offset)

    def commit(self, transaction: Transaction, term: int) -> LogPosition:
        """Commit a write transaction and append its log entry.

        Args:
            transaction: The transaction.
            term: Term of the primary.

        Returns:
            Position of the log entry.

        Raises:
            SqlError: If a concurrent write changed its results (40001).
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
        """Roll back a transaction and release its locks."""
        if transaction.is_writing:
            transaction.is_writing = False
            self.database.rollback(transaction)
            self.locks.release(transaction)

    def rebuild(self, offset: int) -> None:
        """Truncate the log to an offset and rebuild the database from it.

        The replay starts from a snapshot, because a replay of the whole log would
        block the other upstreams of the process for seconds.
        """
        self.log.truncate(offset)
        start = self.database.restore_snapshot(offset)
        for entry in self.log.entries[start:]:
            self.database.apply(entry)
        self.received.advance(self.log.last)
        self.applied.advance(self.log.last)
