"""How fast requests are served, and the times to come back that follow from it."""

from __future__ import annotations

import random

from ebonyrack.core.clock import now_s

INITIAL_SERVICE_S = 0.005
# Weight of the newest measurement in the moving average of service times.
SERVICE_SMOOTHING = 0.1
MINIMUM_RETRY_S = 0.02
MAXIMUM_RETRY_S = 10.0
RETRY_JITTER = 0.25
# A crowd that can't be served by the longest return time is spread over more of it.
EARLY_SHARE = -0.5


class WaitEstimator:
    """Service time of one kind of requests, which queues may share.

    Attributes:
        service_s: Moving average of how long a connection is held, in seconds.
        next_retry_s: Monotonic time of the last return time handed out.
    """

    __slots__ = ("service_s", "next_retry_s")

    def __init__(self) -> None:
        self.service_s = INITIAL_SERVICE_S
        self.next_retry_s = 0.0

    def record_service_time(self, held_s: float) -> None:
        """Take a measurement of how long a connection was held.

        Args:
            held_s: Seconds between grant and release.
        """
        self.service_s += SERVICE_SMOOTHING * (held_s - self.service_s)

    def estimate_wait(self, ahead: float, servers: int) -> float:
        """Return how long it takes to serve requests, in seconds.

        Args:
            ahead: Number of requests.
            servers: Connections that serve them.
        """
        return ahead * self.service_s / max(1, servers)

    def schedule_retry(self, waiting: int, servers: int) -> float:
        """Hand out a time to come back, in seconds from now.

        Return times are handed out one after another at the rate at which requests
        are served, beginning after the backlog, so that refused callers don't
        come back together.

        Args:
            waiting: Requests that wait now.
            servers: Connections that serve them.
        """
        now = now_s()
        earliest_s = now + MINIMUM_RETRY_S + self.estimate_wait(waiting, servers)
        next_s = max(earliest_s, self.next_retry_s) + self.estimate_wait(1, servers)
        self.next_retry_s = min(next_s, now + MAXIMUM_RETRY_S)
        spread = (0.0 if next_s == self.next_retry_s else EARLY_SHARE, RETRY_JITTER)
        return (self.next_retry_s - now) * (1 + random.uniform(*spread))
