"""Estimates waits from service times and assigns retry-after times."""

from __future__ import annotations

import random

from ebonyrack.core.clock import now_s

INITIAL_SERVICE_S = 0.005
# Weight of the newest measurement in the moving average of service times.
SERVICE_SMOOTHING = 0.1
MINIMUM_RETRY_S = 0.02
MAXIMUM_RETRY_S = 10.0
# Upper bound of the jitter, as a fraction of the retry-after time.
RETRY_JITTER = 0.25
# Lower bound of the jitter of a retry-after time that is capped at the maximum, which
# spreads these callers over a longer time.
MINIMUM_CAPPED_JITTER = -0.5


class WaitEstimator:
    """Waits and retry times for one kind of request; several queues may share it.

    Attributes:
        service_s: Moving average of how long a connection is held, in seconds.
        last_retry_at_s: Monotonic time of the latest retry that was assigned.
    """

    __slots__ = ("service_s", "last_retry_at_s")

    def __init__(self) -> None:
        self.service_s = INITIAL_SERVICE_S
        self.last_retry_at_s = 0.0

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
        next_s = max(earliest_s, self.last_retry_at_s) + self.estimate_wait(1, servers)
        self.last_retry_at_s = min(next_s, now + MAXIMUM_RETRY_S)
        spread = (
            0.0 if next_s == self.last_retry_at_s else MINIMUM_CAPPED_JITTER,
            RETRY_JITTER,
        )
        return (self.last_retry_at_s - now) * (1 + random.uniform(*spread))
