"""Values of other programs, of any shape, size and nesting."""

import pytest

from ebonyrack.core.decoding import LARGEST_INTEGER
from ebonyrack.core.decoding import parse_integer
from ebonyrack.core.decoding import parse_json
from ebonyrack.core.decoding import read_integer


@pytest.mark.parametrize(
    "value", [b"[" * 100_000, b'{"a":' * 5000, b"1" * 5000, b"\xff"]
)
def test_unreadable_json_is_a_value_error(value):
    with pytest.raises(ValueError):
        parse_json(value)


@pytest.mark.parametrize(
    "value", [True, 1.0, "1", None, -1, LARGEST_INTEGER + 1, 10**400]
)
def test_other_values_are_no_whole_numbers(value):
    with pytest.raises(ValueError):
        read_integer(value)


def test_digits_are_parsed():
    assert parse_integer(b"17") == 17
    assert parse_integer("9223372036854775807") == LARGEST_INTEGER
    for text in ("", "²", "٣", "-1", "1.5", "9223372036854775808", "1" * 5000, "1 2"):
        assert parse_integer(text) is None
        assert parse_integer(text.encode()) is None
