"""Encodes result rows."""

from __future__ import annotations

from collections.abc import Sequence

from pygwire.messages import DataRow
from pygwire.messages import FieldDescription
from pygwire.messages import RowDescription

from ebonyrack.standins import datatypes
from ebonyrack.standins.log import SqlValue
from ebonyrack.standins.schema import Column


def expand_formats(formats: Sequence[int], count: int) -> list[int]:
    """Return one format for each value from a list that may be short."""
    if len(formats) == count:
        return list(formats)
    return [formats[0] if formats else 0] * count


def encode_row_description(columns: list[Column], formats: Sequence[int] = ()) -> bytes:
    """Encode the description of the rows that follow.

    Args:
        columns: The columns.
        formats: 0 for text and 1 for binary, for all or for each column.

    Returns:
        The message's bytes.
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
    """Encode rows.

    Args:
        rows: The rows.
        columns: Their columns.
        formats: 0 for text and 1 for binary, for all or for each column.

    Returns:
        The bytes of one message for each row.
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
