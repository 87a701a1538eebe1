"""Whether a request waits for a primary or is refused at once.

Load answered: every writer of a group at the moment when its primary is lost. Those
whose time allows it wait for the promotion, and the rest hear at once when to come
back, spread over the time after which writes are served again.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

# From the finding that a primary is lost until writes are served again, before any
# change was seen: pausing the replicas and the promotion itself, which takes the
# platform up to a second.
EXPECTED_OUTAGE_S = 1.2
# Weight of the newest gap that was seen.
OUTAGE_SMOOTHING = 0.5
# A primary that refuses as a replica has a successor, which answers a question.
EXPECTED_DISCOVERY_S = 0.3
# A request is held only if this much of its time is left once the primary is back.
SERVICE_ALLOWANCE_S = 0.1
# A gap may end any moment, but a request needs this long to be served after it.
MINIMUM_REMAINING_S = 0.1
# What is left of a gap that has outlasted what is usual, as a share of its length.
REMAINING_SHARE = 0.5
# Refused callers come back spread over this time after the expected end of the gap.
RETRY_SPREAD_S = 0.3


@dataclass(frozen=True, slots=True)
class OutageDecision:
    """What becomes of a request that needs a primary.

    Attributes:
        waits: Whether it waits.
        retry_after_s: Seconds after which a refused caller should come back.
    """

    waits: bool
    retry_after_s: float


class OutageEstimate:
    """How long a group is without a primary once the loss was found.

    Attributes:
        expected_s: Moving average of the gaps that were seen, in seconds.
    """

    __slots__ = ("expected_s",)

    def __init__(self) -> None:
        self.expected_s = EXPECTED_OUTAGE_S

    def record_outage(self, gap_s: float) -> None:
        """Take a gap that has ended into the average."""
        self.expected_s += OUTAGE_SMOOTHING * (gap_s - self.expected_s)


def estimate_remaining_outage(lost_for_s: float, expected_outage_s: float) -> float:
    """Return how much longer a gap should last, in seconds.

    One that has outlasted what is usual is of another kind, such as a replica that
    must answer first: the longer it has lasted, the longer it goes on.

    Args:
        lost_for_s: Seconds since the loss was found.
        expected_outage_s: Seconds that such a gap usually lasts.
    """
    if lost_for_s < expected_outage_s:
        return max(MINIMUM_REMAINING_S, expected_outage_s - lost_for_s)
    return max(MINIMUM_REMAINING_S, REMAINING_SHARE * lost_for_s)


def decide_wait(
    lost_for_s: float, remaining_s: float, expected_outage_s: float
) -> OutageDecision:
    """Decide on a request that needs a primary while there is none.

    Args:
        lost_for_s: Seconds since the loss was found.
        remaining_s: Seconds until the request's deadline.
        expected_outage_s: Seconds that such a gap usually lasts.

    Returns:
        The decision.
    """
    expected_s = estimate_remaining_outage(lost_for_s, expected_outage_s)
    waits = expected_s + SERVICE_ALLOWANCE_S <= remaining_s
    return OutageDecision(waits, expected_s + random.uniform(0, RETRY_SPREAD_S))
