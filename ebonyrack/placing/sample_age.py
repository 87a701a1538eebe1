"""Decides how often a proxy renews its sample of a primary's log position.

Load: reads of a stated age on a calm day. They need a sample that is no older than the
age, and each sample that no commit or strict read brings along costs the primary, and
where promotions are not fenced a replica too, a request of the proxy's own.
"""

from __future__ import annotations

from collections.abc import Iterable

from ebonyrack.routes.route import Consistency
from ebonyrack.routes.route import Route

# Part of the shortest stated age after which a sample is renewed. The rest remains for
# reads while the primary is silent or being replaced.
RENEWAL_SHARE = 0.47
# Sample age without reads of a stated age, in seconds.
LONGEST_SAMPLE_AGE_S = 1.0
SHORTEST_SAMPLE_AGE_S = 0.1


def compute_sample_age(routes: Iterable[Route], group: str) -> float:
    """Return the age at which a sample of a group's primary is renewed, in seconds.

    Args:
        routes: The operators' routes.
        group: Name of the group.
    """
    ages_s = [
        route.maximum_age_s
        for route in routes
        if route.group == group and route.consistency is not Consistency.PRIMARY
    ]
    if not ages_s:
        return LONGEST_SAMPLE_AGE_S
    age_s = min(RENEWAL_SHARE * min(ages_s), LONGEST_SAMPLE_AGE_S)
    return max(age_s, SHORTEST_SAMPLE_AGE_S)
