"""What the stand-in's engine knows of tables and of result columns."""

from __future__ import annotations

import re
import sqlite3
from collections.abc import Iterable
from dataclasses import dataclass

from ebonyrack.standins import datatypes
from ebonyrack.standins.log import SqlValue
from ebonyrack.standins.sql_error import SqlError
from ebonyrack.standins.sql_error import translate_error

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


class Schema:
    """Answers questions about the schema, remembered until it changes.

    Attributes:
        engine: The database that is asked.
        described: Result columns found for a text.
        column_oids: Type of each column name.
        unique_columns: Columns of each table that a unique index names.
    """

    __slots__ = ("engine", "described", "column_oids", "unique_columns")

    def __init__(self, engine: sqlite3.Connection) -> None:
        self.engine = engine
        self.described: dict[str, list[Column]] = {}
        self.column_oids: dict[str, int] = {}
        self.unique_columns: dict[str, set[str]] = {}

    def run(self, sql: str) -> list[Column]:
        """Run a read and return its columns."""
        try:
            cursor = self.engine.execute(sql)
            rows = cursor.fetchall()
        except (sqlite3.Error, OverflowError) as error:
            raise translate_error(error) from error
        names = [item[0] for item in cursor.description or ()]
        return self.name_columns(names, rows)

    def forget(self) -> None:
        """Drop what was remembered about the schema."""
        self.described.clear()
        self.column_oids.clear()
        self.unique_columns.clear()

    def find_column_oids(self) -> dict[str, int]:
        """Return the type of each column name of all tables."""
        if not self.column_oids:
            rows = self.engine.execute(
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
            rows = self.engine.execute(
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
        columns = self.run(bare)
        declared = self.find_declared_types(bare)
        return [
            Column(column.name, declared.get(column.name, column.oid))
            for column in columns
        ]

    def find_declared_types(self, sql: str) -> dict[str, int]:
        """Ask the engine for the declared types of a query's columns."""
        try:
            self.engine.execute(f"CREATE TEMP VIEW described AS {sql}")
        except sqlite3.Error:
            return {}
        rows = self.engine.execute("PRAGMA temp.table_info(described)").fetchall()
        self.engine.execute("DROP VIEW temp.described")
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
        rows = self.engine.execute(
            "SELECT name FROM pragma_table_info(?)", (match.group(1),)
        )
        return [row[0] for row in rows]
