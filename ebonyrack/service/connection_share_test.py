import pytest

from ebonyrack.config.sections import GroupSection
from ebonyrack.service.connection_share import compute_connection_share


@pytest.mark.parametrize(
    ("live_proxies", "share"), [(0, 18), (1, 18), (4, 4), (5, 3), (100, 1)]
)
def test_connections_without_the_reserve_are_divided_evenly(live_proxies, share):
    section = GroupSection(
        owner="databases", upstreams=(), connection_limit=20, connection_reserve=2
    )
    assert compute_connection_share(section, live_proxies) == share
