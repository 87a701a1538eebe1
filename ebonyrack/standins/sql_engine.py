"""The database of a stand-in upstream, based on sqlite3.

There are two in-memory databases: `committed`, which reads see, and `work`, which also
has the changes of one open write transaction at a time. Several transactions may be
open: to switch to another one, `work` is rolled back and the statements of that
transaction are replayed on it. A commit replays them on `committed`, exactly as a
replica does. If the result of a replayed statement differs from that of its first
execution, its transaction ends with a serialization failure.
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
        committed: Database with the committed transactions.
        work: Database with the changes of the loaded write transaction as well.
        loaded: Write transaction whose statements were run on `work`, or None.
        time_us: Unix time that `now()` returns, in microseconds; 0 for the real time.
        random: Source of `random()`, seeded for each logged statement.
        snapshots: Snapshots of `committed`.
        schema: Column metadata of tables and statements.
    """

    __slots__ = (
        "committed",
        "work",
        "loaded",
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
        self.loaded: Transaction | None = None
        self.schema = Schema(self.committed)
        for connection in (self.committed, self.work):
            for sql in SCHEMA:
                connection.execute(sql)
        self.snapshots = Snapshots(self.committed)

    def open_engine(self) -> sqlite3.Connection:
        """Open an in-memory database with some PostgreSQL functions."""
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
        """Return a random number in [0, 1)."""
        return self.random.random()

    def read(
        self, sql: str, values: tuple[SqlValue, ...], transaction: Transaction | None
    ) -> ResultSet:
        """Run a read statement.

        Args:
            sql: Text for the engine.
            values: Parameter values.
            transaction: Write transaction whose uncommitted writes it sees, or None.

        Returns:
            The result.
        """
        if transaction is None:
            return self.run(self.committed, sql, values)
        self.load_transaction(transaction)
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
        return ResultSet(self.schema.infer_columns(names, rows), rows, count)

    def load_transaction(self, transaction: Transaction) -> None:
        """Load an open write transaction into `work`.

        Raises:
            SqlError: If a replayed statement has another result than before (40001).
        """
        if self.loaded is transaction:
            return
        self.undo_work()
        self.work.execute("BEGIN")
        self.loaded = transaction
        self.replay(self.work, transaction)

    def undo_work(self) -> None:
        """Roll `work` back to the committed state."""
        if self.work.in_transaction:
            self.work.execute("ROLLBACK")
        self.loaded = None

    def replay(self, engine: sqlite3.Connection, transaction: Transaction) -> None:
        """Replay a transaction's statements and compare their results.

        Raises:
            SqlError: If a statement has another result than before (40001).
        """
        pairs = zip(transaction.statements, transaction.results, strict=True)
        for index, (statement, before) in enumerate(pairs):
            try:
                result = self.execute_write(
                    engine, statement, transaction.time_us, index
                )
            except SqlError as error:
                raise SqlError(SERIALIZATION_FAILURE, error.text) from error
            if build_result(result) != before:
                raise SqlError(
                    SERIALIZATION_FAILURE,
                    "could not serialize access due to a concurrent write",
                )

    def write(self, statement: LoggedStatement, transaction: Transaction) -> ResultSet:
        """Run a write statement and add it to its transaction.

        Args:
            statement: The statement.
            transaction: The open write transaction.

        Returns:
            The result with the number of changed rows.
        """
        self.load_transaction(transaction)
        index = len(transaction.statements)
        result = self.execute_write(self.work, statement, transaction.time_us, index)
        transaction.statements.append(statement)
        transaction.results.append(build_result(result))
        return result

    def execute_write(
        self,
        engine: sqlite3.Connection,
        statement: LoggedStatement,
        time_us: int,
        index: int,
    ) -> ResultSet:
        """Run a write statement; `now()` and `random()` are the same in each replay."""
        self.time_us = time_us
        self.random.seed(time_us + index)
        try:
            return self.run(engine, statement.sql, statement.values)
        finally:
            self.time_us = 0

    def commit(self, entry: LogEntry, transaction: Transaction) -> None:
        """Commit a write transaction, so that reads see it.

        Args:
            entry: The transaction's log entry.
            transaction: The transaction.

        Raises:
            SqlError: If a replayed statement has another result than before (40001).
        """
        self.load_transaction(transaction)
        self.work.execute("COMMIT")
        self.loaded = None
        self.apply(entry)

    def rollback(self, transaction: Transaction) -> None:
        """Roll back an open write transaction."""
        if self.loaded is transaction:
            self.undo_work()

    def apply(self, entry: LogEntry) -> None:
        """Apply a log entry to `committed`."""
        if not entry.statements:
            return
        self.committed.execute("BEGIN")
        for index, statement in enumerate(entry.statements):
            self.execute_write(self.committed, statement, entry.time_us, index)
        self.committed.execute("COMMIT")
        if any(is_schema_change(statement.sql) for statement in entry.statements):
            self.schema.clear_cache()

    def take_snapshot(self, offset: int) -> None:
        """Take a snapshot of the committed state at a log offset."""
        self.snapshots.take(offset)

    def restore_snapshot(self, offset: int) -> int:
        """Restore the latest snapshot that isn't after a log offset.

        Args:
            offset: The offset.

        Returns:
            Offset of the restored snapshot; the entries after it must be applied again.
        """
        self.undo_work()
        restored = self.snapshots.restore(offset)
        self.schema.clear_cache()
        return restored

    def prepare_for_writes(self) -> None:
        """Copy `committed` to `work`, so that it can run write transactions."""
        self.undo_work()
        self.committed.backup(self.work)

    def close(self) -> None:
        """Close both databases."""
        self.committed.close()
        self.work.close()


def build_result(result: ResultSet) -> StatementResult:
    """Build the result of a write statement that its replay is compared with."""
    return StatementResult(result.count, tuple(result.rows))


def is_schema_change(sql: str) -> bool:
    """Return whether a statement changes the schema."""
    return sql.lstrip()[:6].upper() in ("CREATE", "ALTER ", "DROP T", "DROP I")
