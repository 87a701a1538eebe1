"""Rate limit for calls."""

from __future__ import annotations

from ebonyrack.core.clock import now_s

BURST_S = 2.0


class RateLimit:
    """Token bucket with one token per call.

    Attributes:
        rate: Tokens added per second.
        burst: Maximum number of tokens.
        tokens: Available tokens; negative while reserved calls wait for theirs.
        refilled_at_s: Monotonic time of the last refill.
    """

    __slots__ = ("rate", "burst", "tokens", "refilled_at_s")

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.burst = max(1.0, rate * BURST_S)
        self.tokens = self.burst
        self.refilled_at_s = now_s()

    def reserve(self, limit_s: float) -> float | None:
        """Reserve a token for one call.

        Args:
            limit_s: Longest acceptable wait in seconds.

        Returns:
            Seconds to wait before the call, or None if the wait would be too long.
        """
        elapsed_s = now_s() - self.refilled_at_s
        self.refilled_at_s += elapsed_s
        self.tokens = min(self.burst, self.tokens + elapsed_s * self.rate)
        wait_s = max(0.0, (1 - self.tokens) / self.rate)
        if wait_s > limit_s:
            return None
        self.tokens -= 1
        return wait_s
