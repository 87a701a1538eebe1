"""Decides when the refused callers of client accounts may return.

The load that it answers: everyone back at once after many processes were killed, and
one account at seven times its usual rate. Refused callers that are told the same time
come back together and are refused again, and times that follow the whole queue make the
callers of quiet accounts wait for the room of the busy one.

Each refused caller is told the time at which a fair order would reach it: after the
earlier ones of its account, and after as many of every other account.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Mapping

from ebonyrack.pooling.wait_estimator import MAXIMUM_RETRY_S
from ebonyrack.pooling.wait_estimator import MINIMUM_CAPPED_JITTER
from ebonyrack.pooling.wait_estimator import MINIMUM_RETRY_S
from ebonyrack.pooling.wait_estimator import RETRY_JITTER


class AccountRetries:
    """The retry-after times that were assigned and lie ahead, by account.

    Attributes:
        told_at_s: Monotonic times for which callers were told to return, by account,
            in the order in which they were told.
    """

    __slots__ = ("told_at_s",)

    def __init__(self) -> None:
        self.told_at_s: dict[str, deque[float]] = {}

    def schedule(
        self,
        account: str,
        wait_s: float,
        grant_interval_s: float,
        weights: Mapping[str, int],
        now_s: float,
    ) -> float:
        """Assign a retry-after time, in seconds from now.

        Args:
            account: Name of the account.
            wait_s: Expected wait of a new request of the account, in seconds.
            grant_interval_s: Expected time between two grants, in seconds.
            weights: Weight by account; others count 1.
            now_s: Monotonic time.
        """
        self.forget_past(now_s)
        rank = 1 + len(self.told_at_s.get(account, ()))
        turns = float(rank)
        for name, times_s in self.told_at_s.items():
            if name != account:
                share = weights.get(name, 1) / weights.get(account, 1)
                turns += min(len(times_s), rank * share)
        after_s = MINIMUM_RETRY_S + wait_s + turns * grant_interval_s
        if after_s > MAXIMUM_RETRY_S:
            # Not remembered, so that a flood of refusals takes no memory.
            jitter = random.uniform(MINIMUM_CAPPED_JITTER, RETRY_JITTER)
            return MAXIMUM_RETRY_S * (1 + jitter)
        after_s *= 1 + random.uniform(0.0, RETRY_JITTER)
        self.told_at_s.setdefault(account, deque()).append(now_s + after_s)
        return after_s

    def forget_past(self, now_s: float) -> None:
        """Drop the times that have passed."""
        for name, times_s in list(self.told_at_s.items()):
            while times_s and times_s[0] <= now_s:
                times_s.popleft()
            if not times_s:
                del self.told_at_s[name]
