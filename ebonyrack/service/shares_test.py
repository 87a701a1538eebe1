import pytest

from ebonyrack.config.sections import GroupSection
from ebonyrack.service.shares import compute_share


@pytest.mark.parametrize(
    ("live_proxies", "share"), [(0, 18), (1, 18), (4, 4), (5, 3), (100, 1)]
)
def test_share_is_an_even_part_without_the_reserve(live_proxies, share):
    section = GroupSection(
        owner="databases", upstreams=(), connection_limit=20, connection_reserve=2
    )
    assert compute_share(section, live_proxies) == share
