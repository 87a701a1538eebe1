"""Questions for grants that hold values of another build, or nonsense."""

import math

import pytest

from ebonyrack.limits.grant_book import GrantBook
from ebonyrack.limits.grant_terms import LimitBounds
from ebonyrack.limits.limit_messages import AskGrants

VERSION = 7


def build_ask(number, odd_limit):
    return AskGrants(
        asker="proxy-1",
        number=number,
        shard=0,
        version=VERSION + number,
        needed={"odd": 1, "good": 1},
        wanted={"odd": 1, "good": 1},
        unused={"odd": [[1, -5], [1], []]},
        limits={"odd": odd_limit, "good": [50.0, 5.0]},
    )


@pytest.mark.parametrize(
    "limit",
    [[math.nan, 1.0], [math.inf, 1.0], [1.0, -1.0], [1.0], [], [1e308, math.inf]],
)
def test_odd_limit_of_one_account_keeps_no_grant_from_another(limit):
    book = GrantBook(LimitBounds(5.0, 0.1, 20.0), 0.0)
    book.set_version({}, VERSION, 0.0)
    for number in (1, 2):
        reply = book.answer(build_ask(number, limit), 10.0 * number)
        assert reply.counts["good"] == 1
        assert "odd" not in reply.counts
