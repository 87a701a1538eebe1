"""Locks that keep open write transactions apart."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Iterable
from collections.abc import Iterator

from ebonyrack.standins.dialect import INSERT
from ebonyrack.standins.dialect import ROW
from ebonyrack.standins.dialect import read_column_names
from ebonyrack.standins.log import SqlValue
from ebonyrack.standins.sql_error import SqlError
from ebonyrack.standins.transaction import Transaction

WAIT_LIMIT_S = 5.0

VALUE = r"'(?:[^']|'')*'|\$\d+|-?\d+"
TABLE = re.compile(r"\b(?:UPDATE|FROM)\s+\"?(\w+)\"?", re.IGNORECASE)
WHERE = re.compile(r"\bWHERE\b(.*)", re.IGNORECASE | re.DOTALL)
EQUAL = re.compile(rf"\"?(\w+)\"?\s*=\s*({VALUE})")
# The boundary keeps the search through a long literal linear.
EMPTY_CALL = re.compile(r"\b\w+\(\s*\)")
AFTER_ROWS = re.compile(r"\b(?:ON\s+CONFLICT|RETURNING)\b", re.IGNORECASE)


class LockTable:
    """Lets one open transaction at a time write a value.

    Rows aren't known before a statement runs, so the values by which it names them
    stand for them: two transactions that write the same key wait for each other.

    Attributes:
        holders: Transaction that holds each value.
        released: Set and replaced whenever values come free.
    """

    __slots__ = ("holders", "released")

    def __init__(self) -> None:
        self.holders: dict[str, Transaction] = {}
        self.released = asyncio.Event()

    def is_free(self, values: Iterable[str], transaction: Transaction) -> bool:
        """Return whether no other transaction holds one of the values."""
        return all(
            self.holders.get(value, transaction) is transaction for value in values
        )

    async def acquire(self, values: frozenset[str], transaction: Transaction) -> None:
        """Wait until the values are free and hold them.

        Args:
            values: The values.
            transaction: Who holds them from then on.

        Raises:
            SqlError: If they don't come free within the limit (40P01).
        """
        try:
            async with asyncio.timeout(WAIT_LIMIT_S):
                while not self.is_free(values, transaction):
                    await self.released.wait()
        except TimeoutError:
            raise SqlError("40P01", "waited too long for another writer") from None
        transaction.claims |= values
        self.holders.update(dict.fromkeys(values, transaction))

    def release(self, transaction: Transaction) -> None:
        """Let go what a transaction holds."""
        for value in transaction.claims:
            del self.holders[value]
        transaction.claims.clear()
        self.released.set()
        self.released = asyncio.Event()


def find_claims(
    text: str, values: tuple[SqlValue, ...], unique_columns: dict[str, set[str]]
) -> frozenset[str]:
    """Find the values by which a writing statement names its rows.

    Args:
        text: PostgreSQL text of the statement.
        values: Parameters.
        unique_columns: Columns of each table that a unique index names.

    Returns:
        `table.column=value` for each unique column that an INSERT sets, and for
        each comparison in the WHERE of another statement.
    """
    insert = INSERT.search(text)
    if insert is not None:
        return frozenset(find_inserted(insert, values, unique_columns))
    table, where = TABLE.search(text), WHERE.search(text)
    if table is None or where is None:
        return frozenset()
    return frozenset(
        f"{table.group(1)}.{column}={read_value(value, values)}"
        for column, value in EQUAL.findall(where.group(1))
    )


def find_inserted(
    insert: re.Match[str],
    values: tuple[SqlValue, ...],
    unique_columns: dict[str, set[str]],
) -> Iterator[str]:
    """Yield the claims of an INSERT."""
    table, names, rows = insert.groups()
    unique = unique_columns.get(table, set())
    columns = read_column_names(names)
    rows = AFTER_ROWS.split(rows)[0]
    for row in ROW.findall(EMPTY_CALL.sub("0", rows)):
        for column, value in zip(columns, row.split(","), strict=False):
            if column in unique:
                yield f"{table}.{column}={read_value(value.strip(), values)}"


def read_value(text: str, values: tuple[SqlValue, ...]) -> str:
    """Return a literal without its quotes, or the parameter that is named."""
    if text.startswith("$") and 0 < int(text[1:]) <= len(values):
        return str(values[int(text[1:]) - 1])
    return text.strip("'")
