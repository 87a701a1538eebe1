"""Encoding and decoding of messages.

A frame on a link is a msgpack array `[code, correlation, fields]`. The correlation
is 0 for a one-way message, positive for a request and negative for its reply.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgpack

from ebonyrack.core.address import Address
from ebonyrack.peers.message import MESSAGE_CODES
from ebonyrack.peers.message import MESSAGE_TYPES
from ebonyrack.peers.message import BadMessageError
from ebonyrack.peers.message import Message
from ebonyrack.peers.message import UnknownMessageError
from ebonyrack.peers.message import get_fields
from ebonyrack.peers.plain_fields import build_plain_validator

PROTOCOL_VERSION = 1
MAXIMUM_FRAME_BYTES = 2 * 1024 * 1024

Validate = Callable[[list[Any]], Message]

VALIDATORS: dict[type[Message], Validate] = {}


def pack_message(message: Message, correlation: int = 0) -> bytes:
    """Encode a message as one frame.

    Args:
        message: The message.
        correlation: 0, the number of a request, or the negative of it in a reply.

    Returns:
        The frame.
    """
    frame = [MESSAGE_CODES[type(message)], correlation, get_fields(message)]
    packed: bytes = msgpack.packb(frame, default=encode_record)
    return packed


def build_message(code: object, fields: object) -> Message:
    """Build a message from its decoded parts.

    Args:
        code: Code of its type.
        fields: Values of its fields in their order.

    Returns:
        The message.

    Raises:
        BadMessageError: If the code is unknown or a field is not valid.
    """
    message_type = MESSAGE_TYPES.get(code) if isinstance(code, int) else None
    if message_type is None or not isinstance(fields, list):
        raise BadMessageError(f"unknown message code {code!r}")
    validate = VALIDATORS.get(message_type)
    if validate is None:
        validate = VALIDATORS[message_type] = find_validator(message_type)
    return validate(fields)


def find_validator(message_type: type[Message]) -> Validate:
    """Return the function that validates the fields of a type of message."""
    validate = build_plain_validator(message_type)
    if validate is not None:
        return validate
    from ebonyrack.peers.validation import build_validator

    return build_validator(message_type)


def parse_frame(frame: object) -> tuple[Message, int]:
    """Parse one unpacked frame.

    Args:
        frame: What msgpack unpacked.

    Returns:
        The message and its correlation.

    Raises:
        UnknownMessageError: If only its type of message is not known.
        BadMessageError: If it is not a valid frame.
    """
    if not isinstance(frame, list) or len(frame) != 3 or not isinstance(frame[1], int):
        raise BadMessageError("not a frame of the peers' protocol")
    code, correlation, fields = frame
    if type(code) is int and code not in MESSAGE_TYPES and isinstance(fields, list):
        raise UnknownMessageError(code, correlation)
    return build_message(code, fields), correlation


def encode_record(record: object) -> Any:
    """Convert a record to a value that msgpack can pack."""
    if isinstance(record, Message):
        return get_fields(record)
    if isinstance(record, Address):
        return str(record)
    raise TypeError(f"not a record of the peers' protocol: {record!r}")
