"""Checks the fields of messages that consist of plain types, without pydantic.

Plain are integers, numbers, flags, text, bytes, None, lists and dictionaries of these,
and alternatives between them.
"""

from __future__ import annotations

import types
from collections.abc import Callable
from typing import Any
from typing import get_args
from typing import get_origin
from typing import get_type_hints

from ebonyrack.peers.message import BadMessageError
from ebonyrack.peers.message import Message

Check = Callable[[Any], bool]

PLAIN_TYPES = (int, float, bool, str, bytes, types.NoneType)


def build_plain_validator(
    message_type: type[Message],
) -> Callable[[list[Any]], Message] | None:
    """Return a function that checks fields and builds a message of a type.

    Args:
        message_type: The type.

    Returns:
        The function, which raises BadMessageError for fields that are missing, too
        many or of another type; None if a field of the type is not plain.
    """
    checks: list[Check] = []
    for hint in get_type_hints(message_type).values():
        check = build_check(hint)
        if check is None:
            return None
        checks.append(check)

    def validate(fields: list[Any]) -> Message:
        is_valid = len(fields) == len(checks) and all(
            check(value) for check, value in zip(checks, fields, strict=True)
        )
        if not is_valid:
            raise BadMessageError(f"bad fields of {message_type.__name__}")
        return message_type(*fields)

    return validate


def build_check(hint: Any) -> Check | None:
    """Return a function that checks a value against a type; None if it isn't plain."""
    if hint is float:
        return lambda value: type(value) in (float, int)
    if hint in PLAIN_TYPES:
        return lambda value: type(value) is hint
    origin = get_origin(hint)
    checks = [build_check(argument) for argument in get_args(hint)]
    known = [check for check in checks if check is not None]
    if not known or len(known) < len(checks):
        return None
    if origin is types.UnionType:
        return lambda value: any(check(value) for check in known)
    if origin is list:
        return lambda value: type(value) is list and all(map(known[0], value))
    if origin is dict:
        return lambda value: (
            type(value) is dict
            and all(map(known[0], value))
            and all(map(known[1], value.values()))
        )
    return None
