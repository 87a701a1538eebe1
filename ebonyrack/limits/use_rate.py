"""Recent rate of an event, as an exponentially weighted average."""

from __future__ import annotations

import math

from msgspec import Struct

TIME_CONSTANT_S = 4.0


class UseRate(Struct):
    """Recent rate of an event.

    Attributes:
        rate_per_s: The rate at the time of the last event.
        updated_at_s: Time of the last event.
    """

    rate_per_s: float = 0.0
    updated_at_s: float = 0.0

    def record(self, now_s: float) -> None:
        """Record one event."""
        self.rate_per_s = self.compute(now_s) + 1.0 / TIME_CONSTANT_S
        self.updated_at_s = now_s

    def compute(self, now_s: float) -> float:
        """Return the rate in events per second."""
        age_s = max(0.0, now_s - self.updated_at_s)
        return self.rate_per_s * math.exp(-age_s / TIME_CONSTANT_S)
