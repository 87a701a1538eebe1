"""Decoding of values that another program wrote, which may hold anything."""

from __future__ import annotations

import json
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

# What reading a value of another shape, size or nesting raises.
DECODING_ERRORS = (
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)
# Whole numbers are at most this large: msgpack and other programs hold no larger ones.
LARGEST_INTEGER = 2**63 - 1


class ProgramDefectError(Exception):
    """The program is at fault, not the value that it decodes."""


@contextmanager
def raise_defects() -> Iterator[None]:
    """Tell errors of our own constructors from those that a value causes.

    Raises:
        ProgramDefectError: If a constructor doesn't take the arguments it is given.
    """
    try:
        yield
    except TypeError as error:
        raise ProgramDefectError(str(error)) from error


def parse_json(data: bytes | str) -> Any:
    """Parse a JSON value.

    Args:
        data: The text, in UTF-8 if it is bytes.

    Raises:
        ValueError: If it is no JSON, or nested too deeply.
    """
    try:
        return json.loads(data)
    except RecursionError:
        raise ValueError("nested too deeply") from None


def read_integer(value: object, lowest: int = 0, highest: int = LARGEST_INTEGER) -> int:
    """Return a value that must be a whole number in a range.

    Args:
        value: The value.
        lowest: The smallest number.
        highest: The largest number.

    Raises:
        ValueError: If it is anything else.
    """
    if type(value) is not int or not lowest <= value <= highest:
        raise ValueError(f"not a whole number from {lowest} to {highest}")
    return value


def parse_integer(text: bytes | str, highest: int = LARGEST_INTEGER) -> int | None:
    """Return the number that decimal digits state; None for another text.

    Args:
        text: The text.
        highest: The largest number.
    """
    digits = text.decode("ascii", "replace") if isinstance(text, bytes) else text
    if not (
        digits.isascii() and digits.isdecimal() and len(digits) <= len(str(highest))
    ):
        return None
    number = int(digits)
    return number if number <= highest else None
