"""Decides which upstreams get fewer reads because they fail a part of their statements.

The load that it answers: an upstream whose health is good and whose replies are quick
fails a third of its statements. A read outside a transaction is tried elsewhere, but a
transaction of several statements rarely ends there. An upstream that fails clearly more
than the others is ejected for some seconds and returns slowly. A floor on how many stay
in keeps statements that fail everywhere, which say nothing about the upstreams, from
ejecting all of them.
"""

from __future__ import annotations

import math
from collections.abc import Collection

# Time constant in seconds with which counted statements decay.
DECAY_S = 2.5
# An upstream is ejected with this many failures above the usual share of the others, if
# its own share exceeds theirs by so much. Soon after its return one failure is enough.
MINIMUM_EXCESS_FAILURES = 1.5
MINIMUM_EXCESS_AFTER_RETURN = 0.5
MINIMUM_EXCESS_SHARE = 0.15
# Length of the first ejection in seconds; each further one soon after takes twice as
# long, up to the maximum.
FIRST_EJECTION_S = 4.0
MAXIMUM_EJECTION_S = 8.0
# Time in seconds over which an upstream gets its reads back.
RETURN_S = 3.0
# Share of the upstreams that may be ejected at the same time.
MAXIMUM_EJECTED_SHARE = 0.4


class FailureRecord:
    """Recent statements of one upstream and its last ejection.

    Attributes:
        served: Exponentially decaying count of statements that were served.
        failed: The same count of statements that failed.
        decayed_at_s: Time up to which the counts have decayed.
        ejected_until_s: End of the last ejection; far in the past without one.
        ejected_for_s: Length of the last ejection, in seconds.
    """

    __slots__ = (
        "served",
        "failed",
        "decayed_at_s",
        "ejected_until_s",
        "ejected_for_s",
    )

    def __init__(self) -> None:
        self.served = 0.0
        self.failed = 0.0
        self.decayed_at_s = 0.0
        self.ejected_until_s = float("-inf")
        self.ejected_for_s = 0.0

    def record(self, is_failed: bool, now: float) -> None:
        """Count a statement."""
        decay = math.exp(min(0.0, self.decayed_at_s - now) / DECAY_S)
        self.decayed_at_s = now
        self.served = self.served * decay + (not is_failed)
        self.failed = self.failed * decay + is_failed

    def has_returned_lately(self, now: float) -> bool:
        """Return whether its last ejection ended a short time ago."""
        return now - self.ejected_until_s < self.ejected_for_s + 2 * RETURN_S

    def is_ejected(self, now: float) -> bool:
        """Return whether it gets no reads that others can serve."""
        return now < self.ejected_until_s

    def eject(self, now: float) -> None:
        """Eject the upstream and start its counts anew."""
        is_repeated = self.has_returned_lately(now)
        length_s = 2 * self.ejected_for_s if is_repeated else FIRST_EJECTION_S
        self.ejected_for_s = min(MAXIMUM_EJECTION_S, length_s)
        self.ejected_until_s = now + self.ejected_for_s
        self.served = self.failed = 0.0

    def compute_admission(self, now: float) -> float:
        """Return the share of its usual reads that it gets, 0 to 1."""
        return min(1.0, max(0.0, (now - self.ejected_until_s) / RETURN_S))


def eject_outlier(
    suspect: FailureRecord, others: Collection[FailureRecord], now: float
) -> bool:
    """Eject an upstream that fails clearly more than the others.

    Args:
        suspect: The upstream, at which a statement has just failed.
        others: The other upstreams of the group.
        now: Time on the caller's clock.

    Returns:
        Whether it was ejected.
    """
    if suspect.is_ejected(now):
        return False
    ejected = 1 + sum(each.is_ejected(now) for each in others)
    if ejected > MAXIMUM_EJECTED_SHARE * (1 + len(others)):
        return False
    statements = sum(each.served + each.failed for each in others)
    failed = sum(each.failed for each in others)
    usual_share = failed / statements if statements else 0.0
    total = suspect.served + suspect.failed
    excess = suspect.failed - usual_share * total
    has_returned = suspect.has_returned_lately(now)
    minimum = MINIMUM_EXCESS_AFTER_RETURN if has_returned else MINIMUM_EXCESS_FAILURES
    if excess < minimum or excess < MINIMUM_EXCESS_SHARE * total:
        return False
    suspect.eject(now)
    return True
