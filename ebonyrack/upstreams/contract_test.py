import pytest

from ebonyrack.core.position import LogPosition
from ebonyrack.upstreams.contract import EbonyrackContract
from ebonyrack.upstreams.status import Role

CONTRACT = EbonyrackContract()


def test_status_is_parsed_with_and_without_silence():
    row = ("replica", "3", "4", "3/7", "3/6", "f")
    status = CONTRACT.parse_status(row)
    assert status.role is Role.REPLICA
    assert status.received == LogPosition(3, 7)
    assert status.silence_s is None
    assert CONTRACT.parse_status((*row, "250")).silence_s == 0.25
    assert CONTRACT.parse_status((*row, "0")).silence_s == 0.0
    assert CONTRACT.parse_status((*row, None)).silence_s is None


def test_grant_and_holds_rows_are_parsed():
    assert CONTRACT.parse_grant(("f", "9", "3/7")).fenced_term == 9
    assert CONTRACT.parse_holds(("t", "5", "5/8")).held


@pytest.mark.parametrize(
    "row", [(), ("replica",), ("other", "1", "1", "1/1", "1/1", "f")]
)
def test_malformed_rows_are_rejected(row):
    with pytest.raises(ValueError):
        CONTRACT.parse_status(row)
