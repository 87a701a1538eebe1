"""Limit on a pool's connections that is lowered while the upstream refuses some."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ebonyrack.core.clock import now_s

# Time for which the limit stays at the value that a refusal has set.
REFUSAL_HOLD_S = 2.0
# After that time the limit rises by one per interval.
RAISE_INTERVAL_S = 0.5


class ConnectionLimit:
    """A limit that is lowered for some time after a refusal by the upstream.

    Attributes:
        limit: Largest number of connections while nothing is refused.
        on_raise: Called when the lowered limit rises.
        refused_limit: Limit set by the last refusal.
        refused_at_s: Monotonic time of that refusal, or None once its effect is over.
        raise_timer: Timer of the next rise of the lowered limit, or None.
    """

    __slots__ = (
        "limit",
        "on_raise",
        "refused_limit",
        "refused_at_s",
        "raise_timer",
    )

    def __init__(self, limit: int, on_raise: Callable[[], None]) -> None:
        self.limit = max(1, limit)
        self.on_raise = on_raise
        self.refused_limit = 0
        self.refused_at_s: float | None = None
        self.raise_timer: asyncio.TimerHandle | None = None

    @property
    def current(self) -> int:
        """The limit, lowered for some time after a refusal by the upstream."""
        if self.refused_at_s is None:
            return self.limit
        elapsed_s = now_s() - self.refused_at_s - REFUSAL_HOLD_S
        raised = max(0, int(elapsed_s / RAISE_INTERVAL_S))
        current = max(1, self.refused_limit) + raised
        if current >= self.limit:
            self.refused_at_s = None
        return min(self.limit, current)

    def record_refusal(self, lowered_limit: int) -> None:
        """Lower the limit for some time after a refusal by the upstream.

        Args:
            lowered_limit: Limit that applies from now on; at least 1 is kept.
        """
        self.refused_limit = lowered_limit
        self.refused_at_s = now_s()
        self.schedule_raise(REFUSAL_HOLD_S)

    def schedule_raise(self, delay_s: float) -> None:
        """Schedule the next rise of the limit.

        Args:
            delay_s: Seconds until the rise.
        """
        self.stop_raising()
        loop = asyncio.get_running_loop()
        self.raise_timer = loop.call_later(delay_s, self.apply_raise)

    def apply_raise(self) -> None:
        """Report that the limit has risen; schedule the next rise if it is due."""
        self.raise_timer = None
        self.on_raise()
        if self.current < self.limit:
            self.schedule_raise(RAISE_INTERVAL_S)

    def stop_raising(self) -> None:
        """Cancel the timer that raises the limit."""
        if self.raise_timer is not None:
            self.raise_timer.cancel()
            self.raise_timer = None
