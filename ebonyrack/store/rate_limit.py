"""A bound on the rate of calls."""

from __future__ import annotations

from ebonyrack.core.clock import now_s

BURST_S = 2.0


class RateLimit:
    """A bucket of calls that refills with time.

    Attributes:
        rate: Calls that come free each second.
        burst: Calls that may be made at once.
        level: Calls that are free now; below 0 some wait for theirs.
        filled_at_s: Time to which the level was brought up.
    """

    __slots__ = ("rate", "burst", "level", "filled_at_s")

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.burst = max(1.0, rate * BURST_S)
        self.level = self.burst
        self.filled_at_s = now_s()

    def reserve(self, limit_s: float) -> float | None:
        """Take one call.

        Args:
            limit_s: Longest wait that is worth while, in seconds.

        Returns:
            Seconds to wait before the call is made, or None if it is too long.
        """
        elapsed_s = now_s() - self.filled_at_s
        self.filled_at_s += elapsed_s
        self.level = min(self.burst, self.level + elapsed_s * self.rate)
        wait_s = max(0.0, (1 - self.level) / self.rate)
        if wait_s > limit_s:
            return None
        self.level -= 1
        return wait_s
