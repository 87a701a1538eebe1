"""Column metadata of tables and statements in the stand-in's engine."""

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
    """Name and type OID of a result column."""

    name: str
    oid: int


class Schema:
    """Column metadata, cached until the schema changes.

    Attributes:
        engine: The database.
        result_columns: Result columns by statement text.
        column_oids: Type OID of each column name.
        unique_columns: Columns of each table that are in a unique index.
    """

    __slots__ = ("engine", "result_columns", "column_oids", "unique_columns")

    def __init__(self, engine: sqlite3.Connection) -> None:
        self.engine = engine
        self.result_columns: dict[str, list[Column]] = {}
        self.column_oids: dict[str, int] = {}
        self.unique_columns: dict[str, set[str]] = {}

    def run(self, sql: str) -> list[Column]:
        """Run a read statement and return its result columns."""
        try:
            cursor = self.engine.execute(sql)
            rows = cursor.fetchall()
        except (sqlite3.Error, OverflowError) as error:
            raise translate_error(error) from error
        names = [item[0] for item in cursor.description or ()]
        return self.infer_columns(names, rows)

    def clear_cache(self) -> None:
        """Clear the cached metadata after a change of the schema."""
        self.result_columns.clear()
        self.column_oids.clear()
        self.unique_columns.clear()

    def find_column_oids(self) -> dict[str, int]:
        """Return the type OID of each column name of all tables."""
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
        """Return the columns of each table that are in a unique index."""
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

    def infer_columns(
        self, names: list[str], rows: list[tuple[SqlValue, ...]]
    ) -> list[Column]:
        """Infer the type of each result column by its values, or else by its name."""
        column_oids = self.find_column_oids()
        columns = []
        for index, name in enumerate(names):
            value = next((row[index] for row in rows if row[index] is not None), None)
            oid = column_oids.get(name, datatypes.TEXT)
            if value is not None and not (oid == datatypes.BOOL and value in (0, 1)):
                oid = datatypes.type_of_value(value)
            columns.append(Column(name, oid))
        return columns

    def describe(self, sql: str, is_write: bool) -> list[Column]:
        """Find the result columns of a statement without executing writes.

        Args:
            sql: Text for the engine.
            is_write: Whether it writes, so that only RETURNING yields columns.

        Returns:
            The columns; empty if it returns no rows.
        """
        if sql not in self.result_columns:
            find = self.describe_returning if is_write else self.describe_read
            self.result_columns[sql] = find(sql)
        return self.result_columns[sql]

    def describe_read(self, sql: str) -> list[Column]:
        """Find the columns of a read by running it with NULL for each parameter."""
        executable_sql = PARAMETER.sub("NULL", LIMIT_PARAMETER.sub("\\1 1", sql))
        columns = self.run(executable_sql)
        declared = self.find_declared_types(executable_sql)
        return [
            Column(column.name, declared.get(column.name, column.oid))
            for column in columns
        ]

    def find_declared_types(self, sql: str) -> dict[str, int]:
        """Find the declared types of a query's columns through a temporary view."""
        try:
            self.engine.execute(f"CREATE TEMP VIEW described AS {sql}")
        except sqlite3.Error:
            return {}
        rows = self.engine.execute("PRAGMA temp.table_info(described)").fetchall()
        self.engine.execute("DROP VIEW temp.described")
        return {row[1]: datatypes.type_of_name(row[2]) for row in rows if row[2]}

    def describe_returning(self, sql: str) -> list[Column]:
        """Find the columns of a RETURNING clause."""
        match = RETURNING.search(sql)
        if match is None:
            return []
        column_oids = self.find_column_oids()
        names: list[str] = []
        for part in match.group(1).split(","):
            if part.strip() == "*":
                names.extend(self.find_table_columns(sql))
                continue
            alias = ALIAS.search(part)
            names.append(alias.group(1) if alias else part.strip().strip('"'))
        return [Column(name, column_oids.get(name, datatypes.TEXT)) for name in names]

    def find_table_columns(self, sql: str) -> Iterable[str]:
        """Return the column names of the table that a statement writes."""
        match = TARGET_TABLE.search(sql)
        if match is None:
            raise SqlError("42601", "cannot find the target table of the statement")
        rows = self.engine.execute(
            "SELECT name FROM pragma_table_info(?)", (match.group(1),)
        )
        return [row[0] for row in rows]
