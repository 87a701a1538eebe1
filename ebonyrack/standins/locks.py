"""Locks that serialize concurrent writes to the same rows."""

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

LOCK_TIMEOUT_S = 5.0

VALUE = r"'(?:[^']|'')*'|\$\d+|-?\d+"
TABLE = re.compile(r"\b(?:UPDATE|FROM)\s+\"?(\w+)\"?", re.IGNORECASE)
WHERE = re.compile(r"\bWHERE\b(.*)", re.IGNORECASE | re.DOTALL)
EQUAL = re.compile(rf"\"?(\w+)\"?\s*=\s*({VALUE})")
# Without the word boundary, the search in a long literal takes quadratic time.
EMPTY_CALL = re.compile(r"\b\w+\(\s*\)")
AFTER_ROWS = re.compile(r"\b(?:ON\s+CONFLICT|RETURNING)\b", re.IGNORECASE)


class LockTable:
    """Exclusive locks on lock keys, held until the end of a transaction.

    The affected rows aren't known before a statement runs. Therefore the column values
    that identify them are locked: of two transactions that write the same key, the
    second waits for the first.

    Attributes:
        holders: Transaction that holds each lock key.
        released: Set and replaced whenever lock keys are released.
    """

    __slots__ = ("holders", "released")

    def __init__(self) -> None:
        self.holders: dict[str, Transaction] = {}
        self.released = asyncio.Event()

    def is_free(self, keys: Iterable[str], transaction: Transaction) -> bool:
        """Return whether no other transaction holds any of the lock keys."""
        return all(self.holders.get(key, transaction) is transaction for key in keys)

    async def acquire(self, keys: frozenset[str], transaction: Transaction) -> None:
        """Wait until all lock keys are free, then acquire them.

        Args:
            keys: The lock keys.
            transaction: Transaction that acquires them.

        Raises:
            SqlError: If they aren't free within the timeout (40P01).
        """
        try:
            async with asyncio.timeout(LOCK_TIMEOUT_S):
                while not self.is_free(keys, transaction):
                    await self.released.wait()
        except TimeoutError:
            raise SqlError(
                "40P01", "timed out waiting for a lock of another transaction"
            ) from None
        transaction.lock_keys |= keys
        self.holders.update(dict.fromkeys(keys, transaction))

    def release(self, transaction: Transaction) -> None:
        """Release all lock keys of a transaction."""
        for key in transaction.lock_keys:
            del self.holders[key]
        transaction.lock_keys.clear()
        self.released.set()
        self.released = asyncio.Event()


def find_lock_keys(
    text: str, values: tuple[SqlValue, ...], unique_columns: dict[str, set[str]]
) -> frozenset[str]:
    """Find the lock keys of a write statement.

    Args:
        text: PostgreSQL text of the statement.
        values: Parameter values.
        unique_columns: Columns of each table that are in a unique index.

    Returns:
        `table.column=value` for each unique column that an INSERT sets, and for each
        equality comparison in the WHERE clause of another statement.
    """
    insert = INSERT.search(text)
    if insert is not None:
        return frozenset(find_insert_keys(insert, values, unique_columns))
    table, where = TABLE.search(text), WHERE.search(text)
    if table is None or where is None:
        return frozenset()
    return frozenset(
        f"{table.group(1)}.{column}={read_value(value, values)}"
        for column, value in EQUAL.findall(where.group(1))
    )


def find_insert_keys(
    insert: re.Match[str],
    values: tuple[SqlValue, ...],
    unique_columns: dict[str, set[str]],
) -> Iterator[str]:
    """Yield the lock keys of an INSERT."""
    table, names, rows = insert.groups()
    unique = unique_columns.get(table, set())
    columns = read_column_names(names)
    rows = AFTER_ROWS.split(rows)[0]
    for row in ROW.findall(EMPTY_CALL.sub("0", rows)):
        for column, value in zip(columns, row.split(","), strict=False):
            if column in unique:
                yield f"{table}.{column}={read_value(value.strip(), values)}"


def read_value(text: str, values: tuple[SqlValue, ...]) -> str:
    """Return a literal without its quotes, or the value of a parameter."""
    if text.startswith("$") and 0 < int(text[1:]) <= len(values):
        return str(values[int(text[1:]) - 1])
    return text.strip("'")
