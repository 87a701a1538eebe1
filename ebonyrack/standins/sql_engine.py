"""The database of one stand-in upstream, on the standard library's sqlite3.

Two in-memory databases are kept: `committed`, which every read sees, and
`work`, which shows one open write transaction at a time. Several may be open: a
change to another one undoes `work` and replays that one's statements. A commit
replays them on `committed`, exactly as a replica does. A statement that then does
something else than before ends its transaction with a serialization failure.
"""

from __future__ import annotations

import datetime
import random
import sqlite3
import time

from ebonyrack.standins.log import LogEntry
from ebonyrack.standins.log import LoggedStatement
from ebonyrack.standins.log import SqlValue
from ebonyrack.standins.result_set import ResultSet
from ebonyrack.standins.schema import Schema
from ebonyrack.standins.snapshots import Snapshots
from ebonyrack.standins.sql_error import SqlError
from ebonyrack.standins.sql_error import translate_error
from ebonyrack.standins.transaction import StatementResult
from ebonyrack.standins.transaction import Transaction

SCHEMA = (
    "CREATE TABLE ebonyrack_requests"
    " (key TEXT PRIMARY KEY, outcome TEXT, created_at TEXT)",
    "CREATE TABLE bookings"
    " (slot INTEGER, booker TEXT, request TEXT UNIQUE, state TEXT,"
    " created_at TEXT DEFAULT (now()))",
)
SERIALIZATION_FAILURE = "40001"


class Database:
    """The data of one upstream.

    Attributes:
        committed: What reads see.
        work: What the shown write transaction sees.
        shown: Write transaction whose statements `work` holds, or None.
        time_us: Wall time that `now()` gives, in microseconds.
        random: Source of `random()`, seeded for each logged statement.
        snapshots: States of `committed` that can be gone back to.
        schema: What is known of tables and result columns.
    """

    __slots__ = (
        "committed",
        "work",
        "shown",
        "time_us",
        "random",
        "snapshots",
        "schema",
    )

    def __init__(self) -> None:
        self.time_us = 0
        self.random = random.Random(0)
        self.committed = self.open_engine()
        self.work = self.open_engine()
        self.shown: Transaction | None = None
        self.schema = Schema(self.committed)
        for connection in (self.committed, self.work):
            for sql in SCHEMA:
                connection.execute(sql)
        self.snapshots = Snapshots(self.committed)

    def open_engine(self) -> sqlite3.Connection:
        """Open an in-memory database with PostgreSQL's functions."""
        connection = sqlite3.connect(":memory:", isolation_level=None)
        connection.execute("PRAGMA foreign_keys=ON")
        connection.create_function("now", 0, self.now)
        connection.create_function("random", 0, self.draw_random)
        connection.create_function("pg_advisory_unlock_all", 0, lambda: None)
        connection.create_function("version", 0, lambda: "PostgreSQL 16.0 (stand-in)")
        return connection

    def now(self) -> str:
        """Return the time of the transaction as text."""
        moment_us = self.time_us or time.time_ns() // 1000
        moment = datetime.datetime.fromtimestamp(moment_us / 1e6, datetime.UTC)
        return moment.isoformat(sep=" ")

    def draw_random(self) -> float:
        """Return a random number of at least 0 and below 1."""
        return self.random.random()

    def read(
        self, sql: str, values: tuple[SqlValue, ...], transaction: Transaction | None
    ) -> ResultSet:
        """Run a reading statement.

        Args:
            sql: Text for the engine.
            values: Parameters.
            transaction: Write transaction whose own writes it sees, or None.

        Returns:
            The rows.
        """
        if transaction is None:
            return self.run(self.committed, sql, values)
        self.show(transaction)
        return self.run(self.work, sql, values)

    def run(
        self, engine: sqlite3.Connection, sql: str, values: tuple[SqlValue, ...]
    ) -> ResultSet:
        """Run a statement on one of the two databases."""
        try:
            cursor = engine.execute(sql, values)
            rows = cursor.fetchall()
        except (sqlite3.Error, OverflowError) as error:
            raise translate_error(error) from error
        if cursor.description is None:
            return ResultSet(count=max(cursor.rowcount, 0))
        names = [item[0] for item in cursor.description]
        count = cursor.rowcount if cursor.rowcount >= 0 else len(rows)
        return ResultSet(self.schema.name_columns(names, rows), rows, count)

    def show(self, transaction: Transaction) -> None:
        """Let `work` show an open write transaction.

        Raises:
            SqlError: If its statements do something else than before (40001).
        """
        if self.shown is transaction:
            return
        self.undo_work()
        self.work.execute("BEGIN")
        self.shown = transaction
        self.replay(self.work, transaction)

    def undo_work(self) -> None:
        """Bring `work` back to what is committed."""
        if self.work.in_transaction:
            self.work.execute("ROLLBACK")
        self.shown = None

    def replay(self, engine: sqlite3.Connection, transaction: Transaction) -> None:
        """Run a transaction's statements again and compare what they do.

        Raises:
            SqlError: If they do something else than before (40001).
        """
        pairs = zip(transaction.statements, transaction.results, strict=True)
        for index, (statement, before) in enumerate(pairs):
            try:
                result = self.write_on(engine, statement, transaction.time_us, index)
            except SqlError as error:
                raise SqlError(SERIALIZATION_FAILURE, error.text) from error
            if build_result(result) != before:
                raise SqlError(SERIALIZATION_FAILURE, "a concurrent write came first")

    def write(self, statement: LoggedStatement, transaction: Transaction) -> ResultSet:
        """Run one writing statement and add it to its transaction.

        Args:
            statement: The statement.
            transaction: The open write transaction.

        Returns:
            Rows changed, and rows returned.
        """
        self.show(transaction)
        index = len(transaction.statements)
        result = self.write_on(self.work, statement, transaction.time_us, index)
        transaction.statements.append(statement)
        transaction.results.append(build_result(result))
        return result

    def write_on(
        self,
        engine: sqlite3.Connection,
        statement: LoggedStatement,
        time_us: int,
        index: int,
    ) -> ResultSet:
        """Run a writing statement with the time and random numbers of its place."""
        self.time_us = time_us
        self.random.seed(time_us + index)
        try:
            return self.run(engine, statement.sql, statement.values)
        finally:
            self.time_us = 0

    def commit(self, entry: LogEntry, transaction: Transaction) -> None:
        """Show a write transaction to readers.

        Args:
            entry: The transaction's entry of the log.
            transaction: The transaction.

        Raises:
            SqlError: If its statements do something else than before (40001).
        """
        self.show(transaction)
        self.work.execute("COMMIT")
        self.shown = None
        self.apply(entry)

    def rollback(self, transaction: Transaction) -> None:
        """Undo an open write transaction."""
        if self.shown is transaction:
            self.undo_work()

    def apply(self, entry: LogEntry) -> None:
        """Replay one entry of the log."""
        if not entry.statements:
            return
        self.committed.execute("BEGIN")
        for index, statement in enumerate(entry.statements):
            self.write_on(self.committed, statement, entry.time_us, index)
        self.committed.execute("COMMIT")
        if any(is_schema_change(statement.sql) for statement in entry.statements):
            self.schema.forget()

    def take_snapshot(self, offset: int) -> None:
        """Keep the committed state at an offset of the log, the last few only."""
        self.snapshots.take(offset)

    def go_back(self, offset: int) -> int:
        """Restore a committed state that isn't after an offset of the log.

        Args:
            offset: The offset.

        Returns:
            Offset of the state restored; what follows it must be applied again.
        """
        self.undo_work()
        restored = self.snapshots.restore(offset)
        self.schema.forget()
        return restored

    def prepare_for_writes(self) -> None:
        """Bring `work` to the state of `committed`."""
        self.undo_work()
        self.committed.backup(self.work)

    def close(self) -> None:
        """Close both databases."""
        self.committed.close()
        self.work.close()


def build_result(result: ResultSet) -> StatementResult:
    """Build the record of what a writing statement did."""
    return StatementResult(result.count, tuple(result.rows))


def is_schema_change(sql: str) -> bool:
    """Return whether a statement changes the schema."""
    return sql.lstrip()[:6].upper() in ("CREATE", "ALTER ", "DROP T", "DROP I")
