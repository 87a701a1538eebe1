"""Prepared statements and the extended query messages that refer to them."""

from __future__ import annotations

import functools
import hashlib
import struct
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ebonyrack.callers.statement import classify_statement
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError

if TYPE_CHECKING:
    from ebonyrack.callers.statement import Statement

HEADER = struct.Struct("!cI")
HEADER_BYTES = HEADER.size
LENGTH_BYTES = 4
COUNT = struct.Struct("!H")
# Length of a parameter value; -1 for NULL.
VALUE_LENGTH = struct.Struct("!i")
NAME_PREFIX = b"ebonyrack_"
NAME_DIGEST_BYTES = 16
MAXIMUM_CACHED_STATEMENTS = 1024


@dataclass(frozen=True, slots=True)
class PreparedStatement:
    """A statement that a caller has prepared.

    Attributes:
        statement: Classification of the statement.
        text: Query text.
        body: Query and parameter types as in the Parse message.
        upstream_name: Its name on upstream connections, which depends only on the
            body; empty if the caller gave it no name.
    """

    statement: Statement
    text: str
    body: bytes
    upstream_name: bytes

    def build_parse(self) -> bytes:
        """Build the Parse frame for an upstream."""
        return build_frame(b"P", self.upstream_name + b"\x00" + self.body)


@dataclass(frozen=True, slots=True)
class PipelineMessage:
    """One message of the extended query protocol, with its names decoded.

    Attributes:
        kind: Kind byte.
        raw: The frame.
        target: `S` for a statement or `P` for a portal in Describe and Close.
        portal: Name of the portal.
        statement: Name of the statement.
        rest: Remaining payload after the names.
    """

    kind: bytes
    raw: bytes
    target: bytes
    portal: bytes
    statement: bytes
    rest: bytes

    @property
    def targets_statement(self) -> bool:
        """Whether a Describe or Close refers to a statement."""
        return self.target == b"S"


def build_frame(kind: bytes, payload: bytes) -> bytes:
    """Build a frame.

    Args:
        kind: Kind byte.
        payload: Payload.

    Returns:
        The frame.
    """
    return HEADER.pack(kind, len(payload) + LENGTH_BYTES) + payload


def decode_message(kind: bytes, raw: bytes) -> PipelineMessage:
    """Decode the names in a Parse, Bind, Describe, Execute or Close frame.

    Args:
        kind: Kind byte.
        raw: The frame.

    Returns:
        The message.

    Raises:
        RequestError: BAD_REQUEST if the frame is malformed.
    """
    body = raw[HEADER_BYTES:]
    target = b""
    portal = b""
    statement = b""
    try:
        if kind == b"P":
            statement, rest = split_name(body)
        elif kind == b"B":
            portal, rest = split_name(body)
            statement, rest = split_name(rest)
        elif kind == b"E":
            portal, rest = split_name(body)
        else:
            target = body[:1]
            name, rest = split_name(body[1:])
            if target == b"S":
                statement = name
            elif target == b"P":
                portal = name
            else:
                raise ValueError(f"unknown target {target!r}")
    except ValueError as error:
        reason = f"message {kind!r} can't be decoded: {error}"
        raise RequestError(ErrorKind.BAD_REQUEST, reason) from error
    return PipelineMessage(kind, raw, target, portal, statement, rest)


def split_name(body: bytes) -> tuple[bytes, bytes]:
    """Split a name off a payload.

    Args:
        body: Payload that starts with a name.

    Returns:
        The name and the remaining payload.

    Raises:
        ValueError: If the name has no terminator.
    """
    end = body.index(b"\x00")
    return body[:end], body[end + 1 :]


def decode_result_formats(rest: bytes) -> bytes:
    """Extract the result formats of a Bind message.

    Args:
        rest: Payload after the names: formats and values of the parameters, then
            the result formats.

    Returns:
        The number of formats and the formats, encoded as in the message.

    Raises:
        RequestError: BAD_REQUEST if the message is malformed.
    """
    try:
        (format_count,) = COUNT.unpack_from(rest)
        offset = COUNT.size * (1 + format_count)
        (value_count,) = COUNT.unpack_from(rest, offset)
        offset += COUNT.size
        for _ in range(value_count):
            (value_bytes,) = VALUE_LENGTH.unpack_from(rest, offset)
            offset += VALUE_LENGTH.size + max(value_bytes, 0)
    except struct.error as error:
        raise RequestError(
            ErrorKind.BAD_REQUEST, f"malformed Bind message: {error}"
        ) from error
    return rest[offset:]


@functools.lru_cache(maxsize=MAXIMUM_CACHED_STATEMENTS)
def decode_statement(body: bytes, is_named: bool) -> PreparedStatement:
    """Decode the statement of a Parse message; sessions share equal ones.

    Args:
        body: Query and parameter types.
        is_named: Whether the caller gave the statement a name.

    Returns:
        The statement.

    Raises:
        RequestError: BAD_REQUEST if the text is not terminated or not UTF-8.
    """
    try:
        text = split_name(body)[0].decode()
    except ValueError as error:
        raise RequestError(ErrorKind.BAD_REQUEST, str(error)) from error
    name = b""
    if is_named:
        digest = hashlib.blake2b(body, digest_size=NAME_DIGEST_BYTES)
        name = NAME_PREFIX + digest.hexdigest().encode()
    return PreparedStatement(classify_statement(text), text, body, name)
