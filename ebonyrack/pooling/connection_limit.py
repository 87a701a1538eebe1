"""Number of connections that a pool may use, lowered while the upstream refuses."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ebonyrack.core.clock import now_s

# How long a limit that the upstream enforced by a refusal stays as it is.
REFUSED_LIMIT_S = 2.0
# After that time the limit rises by one in each interval.
RAISE_INTERVAL_S = 0.5


class ConnectionLimit:
    """A limit that follows refusals of the upstream for a time.

    Attributes:
        limit: Largest number of connections without refusals.
        serve: Called when the lowered limit rises.
        refused_limit: Places that were held when the upstream refused one more.
        refused_at_s: Monotonic time of that refusal, or None once its effect is over.
        raise_timer: Calls `serve` when the lowered limit rises.
    """

    __slots__ = (
        "limit",
        "serve",
        "refused_limit",
        "refused_at_s",
        "raise_timer",
    )

    def __init__(self, limit: int, serve: Callable[[], None]) -> None:
        self.limit = max(1, limit)
        self.serve = serve
        self.refused_limit = 0
        self.refused_at_s: float | None = None
        self.raise_timer: asyncio.TimerHandle | None = None

    @property
    def current(self) -> int:
        """The limit, lowered for a time after the upstream refused a connection."""
        if self.refused_at_s is None:
            return self.limit
        elapsed_s = now_s() - self.refused_at_s - REFUSED_LIMIT_S
        raised = max(0, int(elapsed_s / RAISE_INTERVAL_S))
        present = max(1, self.refused_limit) + raised
        if present >= self.limit:
            self.refused_at_s = None
        return min(self.limit, present)

    def note_refusal(self, open_count: int) -> None:
        """Lower the limit to what the upstream has let us open.

        Args:
            open_count: Places that are held.
        """
        self.refused_limit = open_count
        self.refused_at_s = now_s()
        self.raise_after(REFUSED_LIMIT_S)

    def raise_after(self, delay_s: float) -> None:
        """Serve waiters again after a time.

        Args:
            delay_s: Seconds until then.
        """
        self.stop_raising()
        loop = asyncio.get_running_loop()
        self.raise_timer = loop.call_later(delay_s, self.serve_raised)

    def serve_raised(self) -> None:
        """Serve waiters by the present limit until it is no longer lowered."""
        self.raise_timer = None
        self.serve()
        if self.current < self.limit:
            self.raise_after(RAISE_INTERVAL_S)

    def stop_raising(self) -> None:
        """Cancel the timer that raises the limit."""
        if self.raise_timer is not None:
            self.raise_timer.cancel()
            self.raise_timer = None
