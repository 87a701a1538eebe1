"""Base class of the messages between processes, and the registry of their codes.

A new message is one class in a module `*_messages.py`, with a unique code;
codec_test.py pins the code and the fields, which must not change afterwards. Codes
below 100 belong to the PostgreSQL proxy, others to the proxy for routes.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from typing import TypeVar
from typing import dataclass_transform

PeerRecord = TypeVar("PeerRecord", bound="type[Message]")


class BadMessageError(Exception):
    """Raised for bytes from a peer that are not a valid message."""


class UnknownMessageError(BadMessageError):
    """Raised for a valid frame with a message of a type that isn't known here.

    Attributes:
        correlation: Correlation of the frame.
    """

    def __init__(self, code: object, correlation: int) -> None:
        super().__init__(f"unknown message code {code!r}")
        self.correlation = correlation


class Message:
    """Base of all records that are sent on a link."""

    __slots__ = ()
    # A plain dictionary, as pydantic is loaded only by processes that need it.
    __pydantic_config__ = {"arbitrary_types_allowed": True}


MESSAGE_TYPES: dict[int, type[Message]] = {}
MESSAGE_CODES: dict[type[Message], int] = {}


@dataclass_transform(frozen_default=True)
def register_message(code: int) -> Callable[[PeerRecord], PeerRecord]:
    """Return a decorator that makes a class a record and registers it.

    Args:
        code: Number of the message on the wire; never used for another type.

    Returns:
        The decorator; what it returns is a frozen dataclass with slots.

    Raises:
        ValueError: If the code is taken (raised by the decorator).
    """

    def add(message_type: PeerRecord) -> PeerRecord:
        if code in MESSAGE_TYPES:
            raise ValueError(f"message code {code} is registered already")
        record: Any = dataclass(frozen=True, slots=True)(message_type)
        MESSAGE_TYPES[code] = record
        MESSAGE_CODES[record] = code
        return record  # type: ignore[no-any-return]

    return add


def get_fields(message: Message) -> list[Any]:
    """Return the values of a message's fields in their order."""
    names = type(message).__dataclass_fields__  # type: ignore[attr-defined]
    return [getattr(message, name) for name in names]
