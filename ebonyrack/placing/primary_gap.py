"""Whether a request waits for a primary or is refused at once.

Load answered: every writer of a group at the moment when its primary is lost. Those
whose time allows it wait for the promotion, and the rest hear at once when to come
back, spread over the time after which writes are served again.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

# Detection, pausing the replicas and the promotion itself, which takes the platform
# up to a second, until writes are served again.
EXPECTED_GAP_S = 1.8
# A primary that refuses as a replica has a successor, which answers a question.
EXPECTED_SEARCH_S = 0.3
# A request is held only if this much of its time is left once the primary is back.
SERVICE_ALLOWANCE_S = 0.1
# A gap that has lasted longer than expected may still end any moment.
SHORTEST_REST_S = 0.1
# Refused callers come back spread over this time after the expected end of the gap.
RETURN_SPREAD_S = 0.3


@dataclass(frozen=True, slots=True)
class GapDecision:
    """What becomes of a request that needs a primary.

    Attributes:
        waits: Whether it waits.
        retry_after_s: Seconds after which a refused caller should come back.
    """

    waits: bool
    retry_after_s: float


def decide_gap(
    lost_for_s: float, time_left_s: float, is_searching: bool
) -> GapDecision:
    """Decide on a request that needs a primary while there is none.

    Args:
        lost_for_s: Seconds since the primary was lost.
        time_left_s: Seconds until the request's deadline.
        is_searching: Whether another upstream is likely to lead already.

    Returns:
        The decision.
    """
    gap_s = EXPECTED_SEARCH_S if is_searching else EXPECTED_GAP_S
    expected_s = max(SHORTEST_REST_S, gap_s - lost_for_s)
    waits = expected_s + SERVICE_ALLOWANCE_S <= time_left_s
    return GapDecision(waits, expected_s + random.uniform(0, RETURN_SPREAD_S))
