"""Base class of the messages between processes, and the registry of their codes.

A new message is one class in a module `*_messages.py`, with a unique code;
codec_test.py pins the code and the fields, which must not change afterwards.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from typing import ClassVar
from typing import TypeVar
from typing import dataclass_transform

from pydantic import ConfigDict
from pydantic_core import ArgsKwargs

PeerRecord = TypeVar("PeerRecord", bound="type[Message]")


class BadMessageError(Exception):
    """Raised for bytes from a peer that are not a valid message."""


class Message:
    """Base of all records that are sent on a link."""

    __slots__ = ()
    __pydantic_config__: ClassVar[ConfigDict] = ConfigDict(arbitrary_types_allowed=True)


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


def read_fields(value: object) -> object:
    """Wrap the array of a nested record's fields for validation by pydantic."""
    return ArgsKwargs(tuple(value)) if isinstance(value, list) else value
