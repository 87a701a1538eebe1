"""Decides whether a request waits for a primary or is rejected at once.

The loss of a primary affects all writers of a group at the same moment. Requests
whose deadline allows it wait for the promotion. The others are rejected at once with
a retry-after that spreads their retries over a short time from the expected end of the
outage on.
"""

from __future__ import annotations

import random

from msgspec import Struct

# Initial estimate of the time from detecting the loss of a primary until writes are
# served again: pausing the replicas plus the promotion itself, which takes the
# platform up to a second.
EXPECTED_OUTAGE_S = 1.2
# Weight of the newest outage in the moving average.
OUTAGE_SMOOTHING = 0.5
# A primary that rejects a request as a replica has a successor, which a probe finds.
EXPECTED_DISCOVERY_S = 0.3
# A leaving primary steps down before its successor's promotion is ordered.
EXPECTED_PLANNED_CHANGE_S = 0.8
# A request waits only if this much of its time remains once the primary is back.
SERVICE_ALLOWANCE_S = 0.1
# Minimum estimate of the remainder: an outage may end at any moment, but a request
# needs this long to be served after it.
MINIMUM_REMAINING_OUTAGE_S = 0.1
# Expected remainder of an outage that is longer than usual, as a share of its length.
REMAINING_OUTAGE_SHARE = 0.5
# Rejected callers retry spread over this time after the expected end of the outage.
RETRY_SPREAD_S = 0.3


class OutageDecision(Struct, frozen=True):
    """Whether a request waits for a primary.

    Attributes:
        waits: Whether it waits.
        retry_after_s: Seconds after which a rejected caller should retry.
    """

    waits: bool
    retry_after_s: float


class OutageEstimate:
    """Estimates how long a group is without a primary after the loss is detected.

    Attributes:
        expected_s: Moving average of the observed outages, in seconds.
    """

    __slots__ = ("expected_s",)

    def __init__(self) -> None:
        self.expected_s = EXPECTED_OUTAGE_S

    def record_outage(self, outage_s: float) -> None:
        """Update the moving average with a finished outage."""
        self.expected_s += OUTAGE_SMOOTHING * (outage_s - self.expected_s)


def estimate_remaining_outage(lost_for_s: float, expected_outage_s: float) -> float:
    """Return how much longer an outage is expected to last, in seconds.

    An outage that is longer than usual has another cause, such as a replica that must
    reply first: the longer it has lasted, the longer it is expected to continue.

    Args:
        lost_for_s: Seconds since the loss was detected.
        expected_outage_s: Seconds that such an outage usually lasts.
    """
    if lost_for_s < expected_outage_s:
        return max(MINIMUM_REMAINING_OUTAGE_S, expected_outage_s - lost_for_s)
    return max(MINIMUM_REMAINING_OUTAGE_S, REMAINING_OUTAGE_SHARE * lost_for_s)


def decide_wait(
    lost_for_s: float, remaining_s: float, expected_outage_s: float
) -> OutageDecision:
    """Decide whether a request that needs a primary waits for one.

    Args:
        lost_for_s: Seconds since the loss was detected.
        remaining_s: Seconds until the request's deadline.
        expected_outage_s: Seconds that such an outage usually lasts.

    Returns:
        The decision.
    """
    expected_s = estimate_remaining_outage(lost_for_s, expected_outage_s)
    waits = expected_s + SERVICE_ALLOWANCE_S <= remaining_s
    return OutageDecision(waits, expected_s + random.uniform(0, RETRY_SPREAD_S))
