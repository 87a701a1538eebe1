"""Reads and decodes the result of a control query."""

from __future__ import annotations

import functools
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass

from pygwire.messages import CommandComplete
from pygwire.messages import DataRow
from pygwire.messages import ErrorResponse
from pygwire.messages import RowDescription

from ebonyrack.upstreams.transport import HEADER_BYTES
from ebonyrack.upstreams.transport import Message
from ebonyrack.upstreams.transport import UpstreamLostError

MAXIMUM_CONTROL_ROWS = 10000
CACHED_DESCRIPTIONS = 64


@dataclass(frozen=True, slots=True)
class QueryResult:
    """The complete result of a simple query.

    Attributes:
        columns: Column names of the last result set.
        rows: Rows of the last result set in text format; None stands for NULL.
        tag: Command tag of the last statement.
        error: Fields of the ErrorResponse, or None.
    """

    columns: tuple[str, ...]
    rows: tuple[tuple[str | None, ...], ...]
    tag: str
    error: dict[str, str] | None


async def read_query_result(
    read_message: Callable[[], Awaitable[Message]],
) -> QueryResult:
    """Read messages up to ReadyForQuery and decode them.

    Args:
        read_message: Waits for the next message of the upstream.

    Returns:
        The result.

    Raises:
        UpstreamLostError: If the connection ended or the result has too many rows.
        PygwireError: If a message can't be decoded.
    """
    columns: tuple[str, ...] = ()
    rows: list[tuple[str | None, ...]] = []
    tag = ""
    error: dict[str, str] | None = None
    while True:
        message = await read_message()
        if message.kind == b"T":
            columns = read_column_names(message.raw)
            rows = []
        elif message.kind == b"D":
            rows.append(decode_row(message))
            check_row_count(len(rows))
        elif message.kind == b"C":
            tag = CommandComplete.decode(message.payload).tag
        elif message.kind == b"E":
            error = ErrorResponse.decode(message.payload).fields
        elif message.kind == b"Z":
            return QueryResult(columns, tuple(rows), tag, error)


@functools.lru_cache(maxsize=CACHED_DESCRIPTIONS)
def read_column_names(raw: bytes) -> tuple[str, ...]:
    """Decode the column names of a RowDescription.

    Control queries return the same few descriptions repeatedly, hence the cache.

    Args:
        raw: The frame.

    Returns:
        The names.
    """
    fields = RowDescription.decode(memoryview(raw)[HEADER_BYTES:]).fields
    return tuple(field.name for field in fields)


def decode_row(message: Message) -> tuple[str | None, ...]:
    """Decode a DataRow in text format.

    Args:
        message: The DataRow.

    Returns:
        Its values.
    """
    return tuple(
        None if value is None else value.decode("utf-8", "replace")
        for value in DataRow.decode(message.payload).columns
    )


def check_row_count(count: int) -> None:
    """Reject a result that would use too much memory.

    Args:
        count: Rows so far.

    Raises:
        UpstreamLostError: If there are too many.
    """
    if count > MAXIMUM_CONTROL_ROWS:
        raise UpstreamLostError("the result of a control query has too many rows")
