import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonyrack.core.position import LogPosition
from ebonyrack.core.position import parse_position


@given(st.integers(0, 2**63), st.integers(0, 2**63))
def test_parsing_is_the_inverse_of_str(term, offset):
    position = LogPosition(term, offset)
    assert parse_position(str(position)) == position


def test_higher_term_orders_after_higher_offset():
    assert LogPosition(2, 1) > LogPosition(1, 900)


@pytest.mark.parametrize("text", ["", "1", "1/", "/1", "-1/2", "1/2/3", "a/b", "¹/2"])
def test_malformed_positions_are_rejected(text):
    with pytest.raises(ValueError):
        parse_position(text)
