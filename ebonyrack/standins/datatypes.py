"""PostgreSQL type OIDs and the text and binary formats of values."""

from __future__ import annotations

import datetime
import struct
from collections.abc import Callable

from ebonyrack.standins.log import SqlValue

BOOL = 16
BYTEA = 17
INT8 = 20
INT2 = 21
INT4 = 23
TEXT = 25
OID = 26
FLOAT4 = 700
FLOAT8 = 701
TIMESTAMP = 1114
TIMESTAMPTZ = 1184
NUMERIC = 1700

SIZES = {BOOL: 1, INT8: 8, INT2: 2, INT4: 4, OID: 4, FLOAT4: 4, FLOAT8: 8}
NAMED_TYPES = {
    "int": INT8,
    "integer": INT8,
    "bigint": INT8,
    "smallint": INT8,
    "serial": INT8,
    "bigserial": INT8,
    "int2": INT8,
    "int4": INT8,
    "int8": INT8,
    "real": FLOAT8,
    "double": FLOAT8,
    "float": FLOAT8,
    "float4": FLOAT8,
    "float8": FLOAT8,
    "bool": BOOL,
    "boolean": BOOL,
    "bytea": BYTEA,
    "blob": BYTEA,
}
INTEGER_FORMATS = {INT2: "!h", INT4: "!i", INT8: "!q", OID: "!I"}
POSTGRES_EPOCH = datetime.datetime(2000, 1, 1, tzinfo=datetime.UTC)


def type_of_name(name: str) -> int:
    """Return the OID of a declared type, that of text if unknown."""
    words = name.replace("(", " ").lower().split()
    return NAMED_TYPES.get(words[0], TEXT) if words else TEXT


def type_of_value(value: SqlValue) -> int:
    """Return the OID of the type that fits a value."""
    if isinstance(value, int):
        return INT8
    if isinstance(value, float):
        return FLOAT8
    if isinstance(value, bytes):
        return BYTEA
    return TEXT


def decode_value(data: bytes | None, oid: int, is_binary: bool) -> SqlValue:
    """Decode a parameter value.

    Args:
        data: Bytes as received, or None for NULL.
        oid: Type OID, 0 if unknown.
        is_binary: Whether the value is in binary format.

    Returns:
        The value for the engine.

    Raises:
        ValueError: If the bytes are invalid for the type.
    """
    if data is None:
        return None
    try:
        return decode_binary(data, oid) if is_binary else decode_text(data, oid)
    except struct.error as error:
        raise ValueError(f"invalid binary value for type {oid}: {error}") from None


def decode_text(data: bytes, oid: int) -> SqlValue:
    """Decode a parameter value in text format."""
    text = data.decode()
    if oid in INTEGER_FORMATS:
        return int(text)
    if oid in (FLOAT4, FLOAT8, NUMERIC):
        return float(text)
    if oid == BOOL:
        return int(text.lower() in ("t", "true", "1", "on", "yes"))
    if oid == BYTEA and text.startswith("\\x"):
        return bytes.fromhex(text[2:])
    return text


def decode_binary(data: bytes, oid: int) -> SqlValue:
    """Decode a parameter value in binary format."""
    if oid in INTEGER_FORMATS:
        return int(struct.unpack(INTEGER_FORMATS[oid], data)[0])
    if oid == FLOAT8:
        return float(struct.unpack("!d", data)[0])
    if oid == FLOAT4:
        return float(struct.unpack("!f", data)[0])
    if oid == BOOL:
        return int(data != b"\0")
    if oid == BYTEA:
        return data
    if oid in (TIMESTAMP, TIMESTAMPTZ):
        microseconds = struct.unpack("!q", data)[0]
        moment = POSTGRES_EPOCH + datetime.timedelta(microseconds=microseconds)
        return moment.isoformat(sep=" ")
    return data.decode()


def encode_text(value: SqlValue, oid: int) -> bytes | None:
    """Encode a result value in text format."""
    if value is None:
        return None
    if oid == BOOL and isinstance(value, int):
        return b"t" if value else b"f"
    if isinstance(value, bytes):
        return b"\\x" + value.hex().encode()
    if isinstance(value, float):
        return repr(value).encode()
    return str(value).encode()


def encode_binary(value: SqlValue, oid: int) -> bytes | None:
    """Encode a result value in binary format.

    Raises:
        ValueError: If the value doesn't fit the type.
    """
    if value is None:
        return None
    encoder = BINARY_ENCODERS.get(oid)
    if encoder is None:
        return value if isinstance(value, bytes) else str(value).encode()
    try:
        return encoder(value)
    except (struct.error, TypeError) as error:
        raise ValueError(f"{value!r} doesn't fit type {oid}: {error}") from None


BINARY_ENCODERS: dict[int, Callable[..., bytes]] = {
    BOOL: lambda value: b"\1" if value else b"\0",
    INT2: lambda value: struct.pack("!h", value),
    INT4: lambda value: struct.pack("!i", value),
    INT8: lambda value: struct.pack("!q", value),
    FLOAT4: lambda value: struct.pack("!f", value),
    FLOAT8: lambda value: struct.pack("!d", value),
}
