"""Validation by pydantic of messages whose fields are not all of plain types.

Only processes that receive such messages load this module, as pydantic takes some ten
megabytes.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from pydantic import TypeAdapter
from pydantic import ValidationError
from pydantic_core import ArgsKwargs

from ebonyrack.peers.message import BadMessageError
from ebonyrack.peers.message import Message


def read_fields(value: object) -> object:
    """Wrap the array of a nested record's fields for validation by pydantic."""
    return ArgsKwargs(tuple(value)) if isinstance(value, list) else value


def build_validator(
    message_type: type[Message],
) -> Callable[[list[Any]], Message]:
    """Return a function that validates fields and builds a message of a type."""
    adapter: TypeAdapter[Any] = TypeAdapter(message_type)

    def validate(fields: list[Any]) -> Message:
        try:
            message: Message = adapter.validate_python(ArgsKwargs(tuple(fields)))
        except ValidationError as error:
            raise BadMessageError(f"bad fields of {message_type.__name__}") from error
        return message

    return validate
