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
import re
import sqlite3
import time
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

from ebonyrack.standins import datatypes
from ebonyrack.standins.log import LogEntry
from ebonyrack.standins.log import LoggedStatement
from ebonyrack.standins.log import SqlValue
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
RETURNING = re.compile(r"\bRETURNING\b(.*)$", re.IGNORECASE | re.DOTALL)
TARGET_TABLE = re.compile(
    r"\b(?:INTO|UPDATE|FROM)\s+\"?(\w+)\"?", re.IGNORECASE | re.DOTALL
)
PARAMETER = re.compile(r"\?\d+")
LIMIT_PARAMETER = re.compile(r"\b(LIMIT|OFFSET)\s+\?\d+", re.IGNORECASE)
ALIAS = re.compile(r"\bAS\s+\"?(\w+)\"?\s*$", re.IGNORECASE)


@dataclass(slots=True)
class Column:
    """A result column."""

    name: str
    oid: int


@dataclass(slots=True)
class ResultSet:
    """What a statement answers.

    Attributes:
        columns: Result columns; empty when it returns no rows.
        rows: Result rows.
        count: Rows changed or returned.
    """

    columns: list[Column] = field(default_factory=list)
    rows: list[tuple[SqlValue, ...]] = field(default_factory=list)
    count: int = 0


class Database:
    """The data of one upstream.

    Attributes:
        committed: What reads see.
        work: What the shown write transaction sees.
        shown: Write transaction whose statements `work` holds, or None.
        time_us: Wall time that `now()` gives, in microseconds.
        random: Source of `random()`, seeded for each logged statement.
        described: Result columns found for a text, until the schema changes.
        unique_columns: Columns of each table that a unique index names, until the
            schema changes.
        column_oids: Type of each column name, until the schema changes.
    """

    __slots__ = (
        "committed",
        "work",
        "shown",
        "time_us",
        "random",
        "described",
        "column_oids",
        "unique_columns",
    )

    def __init__(self) -> None:
        self.time_us = 0
        self.random = random.Random(0)
        self.committed = self.open_engine()
        self.work = self.open_engine()
        self.shown: Transaction | None = None
        self.described: dict[str, list[Column]] = {}
        self.column_oids: dict[str, int] = {}
        self.unique_columns: dict[str, set[str]] = {}
        for connection in (self.committed, self.work):
            for sql in SCHEMA:
                connection.execute(sql)

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
        return ResultSet(self.name_columns(names, rows), rows, count)

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
            self.forget_schema()

    def prepare_for_writes(self) -> None:
        """Bring `work` to the state of `committed`."""
        self.undo_work()
        self.committed.backup(self.work)

    def forget_schema(self) -> None:
        """Drop what was remembered about the schema."""
        self.described.clear()
        self.column_oids.clear()
        self.unique_columns.clear()

    def find_column_oids(self) -> dict[str, int]:
        """Return the type of each column name of all tables."""
        if not self.column_oids:
            rows = self.committed.execute(
                "SELECT c.name, c.type FROM sqlite_master m,"
                " pragma_table_info(m.name) c WHERE m.type = 'table'"
            )
            self.column_oids = {
                name: datatypes.type_of_name(declared) for name, declared in rows
            }
        return self.column_oids

    def find_unique_columns(self) -> dict[str, set[str]]:
        """Return, for each table, the columns that a unique index names."""
        if not self.unique_columns:
            rows = self.committed.execute(
                "SELECT m.name, c.name FROM sqlite_master m,"
                " pragma_index_list(m.name) i, pragma_index_info(i.name) c"
                " WHERE m.type = 'table' AND i.\"unique\""
                " UNION SELECT m.name, c.name FROM sqlite_master m,"
                " pragma_table_info(m.name) c WHERE m.type = 'table' AND c.pk > 0"
            )
            for table, column in rows:
                self.unique_columns.setdefault(table, set()).add(column)
        return self.unique_columns

    def name_columns(
        self, names: list[str], rows: list[tuple[SqlValue, ...]]
    ) -> list[Column]:
        """Give each result column its type, by its values and else by its name."""
        known = self.find_column_oids()
        columns = []
        for index, name in enumerate(names):
            value = next((row[index] for row in rows if row[index] is not None), None)
            oid = known.get(name, datatypes.TEXT)
            if value is not None and not (oid == datatypes.BOOL and value in (0, 1)):
                oid = datatypes.type_of_value(value)
            columns.append(Column(name, oid))
        return columns

    def describe(self, sql: str, is_write: bool) -> list[Column]:
        """Find the result columns of a statement without running a write.

        Args:
            sql: Text for the engine.
            is_write: Whether it writes, so that only RETURNING gives columns.

        Returns:
            The columns, empty when it returns no rows.
        """
        if sql not in self.described:
            find = self.describe_returning if is_write else self.describe_read
            self.described[sql] = find(sql)
        return self.described[sql]

    def describe_read(self, sql: str) -> list[Column]:
        """Run a read with NULL for each parameter to see its columns."""
        bare = PARAMETER.sub("NULL", LIMIT_PARAMETER.sub("\\1 1", sql))
        columns = self.run(self.committed, bare, ()).columns
        declared = self.find_declared_types(bare)
        return [
            Column(column.name, declared.get(column.name, column.oid))
            for column in columns
        ]

    def find_declared_types(self, sql: str) -> dict[str, int]:
        """Ask the engine for the declared types of a query's columns."""
        try:
            self.committed.execute(f"CREATE TEMP VIEW described AS {sql}")
        except sqlite3.Error:
            return {}
        rows = self.committed.execute("PRAGMA temp.table_info(described)").fetchall()
        self.committed.execute("DROP VIEW temp.described")
        return {row[1]: datatypes.type_of_name(row[2]) for row in rows if row[2]}

    def describe_returning(self, sql: str) -> list[Column]:
        """Read the columns of a RETURNING clause."""
        match = RETURNING.search(sql)
        if match is None:
            return []
        known = self.find_column_oids()
        names: list[str] = []
        for part in match.group(1).split(","):
            if part.strip() == "*":
                names.extend(self.find_table_columns(sql))
                continue
            alias = ALIAS.search(part)
            names.append(alias.group(1) if alias else part.strip().strip('"'))
        return [Column(name, known.get(name, datatypes.TEXT)) for name in names]

    def find_table_columns(self, sql: str) -> Iterable[str]:
        """Return the column names of the table that a statement writes."""
        match = TARGET_TABLE.search(sql)
        if match is None:
            raise SqlError("42601", "no table found")
        rows = self.committed.execute(
            "SELECT name FROM pragma_table_info(?)", (match.group(1),)
        )
        return [row[0] for row in rows]

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
