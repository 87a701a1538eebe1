"""Estimates waits from service times and assigns retry-after times."""

from __future__ import annotations

import random

from ebonyrack.core.clock import now_s

INITIAL_SERVICE_S = 0.005
# Weight of the newest measurement in the moving average of service times.
SERVICE_SMOOTHING = 0.1
MINIMUM_RETRY_S = 0.02
MAXIMUM_RETRY_S = 10.0
RETRY_JITTER = 0.25
# Lower bound of the jitter of retry-after times that are capped at the maximum, so that
# these callers are spread over more of it.
MINIMUM_CAPPED_JITTER = -0.5


class WaitEstimator:
    """Service time of one kind of requests; several queues may share it.

    Attributes:
        service_s: Moving average of how long a connection is held, in seconds.
        next_retry_s: Monotonic time of the last retry assigned.
    """

    __slots__ = ("service_s", "next_retry_s")

    def __init__(self) -> None:
        self.service_s = INITIAL_SERVICE_S
        self.next_retry_s = 0.0

    def record_service_time(self, held_s: float) -> None:
        """Update the average with the time for which a connection was held.

        Args:
            held_s: Seconds between grant and release.
        """
        self.service_s += SERVICE_SMOOTHING * (held_s - self.service_s)

    def estimate_wait(self, ahead: float, servers: int) -> float:
        """Return how long it takes to serve a number of requests, in seconds.

        Args:
            ahead: Number of requests.
            servers: Connections that serve them.
        """
        return ahead * self.service_s / max(1, servers)

    def schedule_retry(self, waiting: int, servers: int) -> float:
        """Assign a retry-after time, in seconds from now.

        Retries are scheduled one after another at the rate at which requests are
        served, beginning after the backlog, so that refused callers don't return all
        at once.

        Args:
            waiting: Number of requests that wait now.
            servers: Connections that serve them.
        """
        now = now_s()
        earliest_s = now + MINIMUM_RETRY_S + self.estimate_wait(waiting, servers)
        next_s = max(earliest_s, self.next_retry_s) + self.estimate_wait(1, servers)
        self.next_retry_s = min(next_s, now + MAXIMUM_RETRY_S)
        spread = (
            0.0 if next_s == self.next_retry_s else MINIMUM_CAPPED_JITTER,
            RETRY_JITTER,
        )
        return (self.next_retry_s - now) * (1 + random.uniform(*spread))
