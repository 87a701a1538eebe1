"""Encoding of result rows as protocol messages."""

from __future__ import annotations

from collections.abc import Sequence

from pygwire.messages import DataRow
from pygwire.messages import FieldDescription
from pygwire.messages import RowDescription

from ebonyrack.standins import datatypes
from ebonyrack.standins.log import SqlValue
from ebonyrack.standins.schema import Column


def expand_formats(formats: Sequence[int], count: int) -> list[int]:
    """Return a format code for each value; a single code applies to all."""
    if len(formats) == count:
        return list(formats)
    return [formats[0] if formats else 0] * count


def encode_row_description(columns: list[Column], formats: Sequence[int] = ()) -> bytes:
    """Encode a RowDescription message.

    Args:
        columns: The columns.
        formats: Format codes, 0 for text and 1 for binary, for all or each column.

    Returns:
        The bytes of the message.
    """
    fields = [
        FieldDescription(
            name=column.name,
            type_oid=column.oid,
            type_size=datatypes.SIZES.get(column.oid, -1),
            type_modifier=-1,
            format_code=code,
        )
        for column, code in zip(
            columns, expand_formats(formats, len(columns)), strict=True
        )
    ]
    return RowDescription(fields).to_wire()


def encode_rows(
    rows: list[tuple[SqlValue, ...]],
    columns: list[Column],
    formats: Sequence[int] = (),
) -> bytes:
    """Encode a DataRow message for each row.

    Args:
        rows: The rows.
        columns: Their columns.
        formats: Format codes, 0 for text and 1 for binary, for all or each column.

    Returns:
        The bytes of the messages.
    """
    codes = expand_formats(formats, len(columns))
    encoders = [
        (datatypes.encode_binary if code else datatypes.encode_text, column.oid)
        for code, column in zip(codes, columns, strict=True)
    ]
    encoded = []
    for row in rows:
        values = [
            encode(value, oid)
            for (encode, oid), value in zip(encoders, row, strict=True)
        ]
        encoded.append(DataRow(values).to_wire())
    return b"".join(encoded)
