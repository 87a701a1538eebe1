"""Builders of PostgreSQL protocol frames."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pygwire.constants import TransactionStatus
from pygwire.messages import CommandComplete
from pygwire.messages import DataRow
from pygwire.messages import EmptyQueryResponse
from pygwire.messages import ErrorResponse
from pygwire.messages import FieldDescription
from pygwire.messages import ParameterStatus
from pygwire.messages import Query
from pygwire.messages import ReadyForQuery
from pygwire.messages import RowDescription

from ebonyrack.core.errors import build_error_fields
from ebonyrack.upstreams.transport import HEADER_BYTES

if TYPE_CHECKING:
    from ebonyrack.core.errors import RequestError

TEXT_OID = 25
VARIABLE_SIZE = -1
SQLSTATE_FIELD = b"\x00C"
SQLSTATE_BYTES = 5

READY_FRAMES = {
    status.value: ReadyForQuery(status=status).to_wire() for status in TransactionStatus
}
EMPTY_QUERY_FRAME = EmptyQueryResponse().to_wire()


def build_ready_for_query(status: str) -> bytes:
    """Build a ReadyForQuery frame.

    Args:
        status: Transaction status: `I`, `T` or `E`.

    Returns:
        The frame.
    """
    return READY_FRAMES[status]


def build_error_response(error: RequestError) -> bytes:
    """Build the ErrorResponse frame for an error.

    Args:
        error: The error that ends the request.

    Returns:
        The frame.
    """
    return ErrorResponse(fields=build_error_fields(error)).to_wire()


def build_command_complete(tag: str) -> bytes:
    """Build a CommandComplete frame.

    Args:
        tag: Command tag, such as `BEGIN`.

    Returns:
        The frame.
    """
    return CommandComplete(tag=tag).to_wire()


def build_query(sql: str) -> bytes:
    """Build a simple Query frame.

    Args:
        sql: The statement.

    Returns:
        The frame.
    """
    return Query(query_string=sql).to_wire()


def build_parameter_status(name: str, value: str) -> bytes:
    """Build a ParameterStatus frame.

    Args:
        name: Name of the parameter.
        value: Value of the parameter.

    Returns:
        The frame.
    """
    return ParameterStatus(name=name, value=value).to_wire()


def build_text_columns(names: tuple[str, ...]) -> bytes:
    """Build a RowDescription frame for text columns.

    Args:
        names: Column names.

    Returns:
        The frame.
    """
    fields = [
        FieldDescription(
            name=name, type_oid=TEXT_OID, type_size=VARIABLE_SIZE, type_modifier=-1
        )
        for name in names
    ]
    return RowDescription(fields=fields).to_wire()


def build_text_row(values: tuple[str, ...]) -> bytes:
    """Build a DataRow frame of text values.

    Args:
        values: Values in column order.

    Returns:
        The frame.
    """
    return DataRow(columns=[value.encode() for value in values]).to_wire()


def extract_sqlstate(raw: bytes) -> str:
    """Extract the SQLSTATE from an ErrorResponse frame.

    Args:
        raw: The frame.

    Returns:
        The five-character SQLSTATE, or an empty string if the field is missing.
    """
    fields = b"\x00" + raw[HEADER_BYTES:]
    _, _, sqlstate = fields.partition(SQLSTATE_FIELD)
    return sqlstate[:SQLSTATE_BYTES].decode("ascii", "replace")
