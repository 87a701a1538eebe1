"""Replication lag, measured on the clock of this process."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from ebonyrack.core.clock import now_s

if TYPE_CHECKING:
    from ebonyrack.core.position import LogPosition
    from ebonyrack.upstreams.group import DatabaseGroup

SAMPLE_INTERVAL_S = 0.02
MAXIMUM_SAMPLES = 512


class PrimaryHistory:
    """Recent positions of the primary, with the times at which they were first seen.

    Attributes:
        samples: Monotonic times and positions, oldest first.
    """

    __slots__ = ("samples",)

    def __init__(self) -> None:
        self.samples: deque[tuple[float, LogPosition]] = deque(maxlen=MAXIMUM_SAMPLES)

    def add(self, position: LogPosition) -> None:
        """Record the primary's current position.

        Args:
            position: Last position of its log.
        """
        now = now_s()
        if self.samples:
            seen_at_s, last = self.samples[-1]
            if position <= last or now - seen_at_s < SAMPLE_INTERVAL_S:
                return
        self.samples.append((now, position))

    def compute_lag(self, position: LogPosition) -> float:
        """Return how long ago the primary moved past a position.

        Args:
            position: Position of a replica.

        Returns:
            Seconds since the primary was first seen past it; 0 if it never was.
        """
        lag_s = 0.0
        for seen_at_s, seen in reversed(self.samples):
            if seen <= position:
                break
            lag_s = now_s() - seen_at_s
        return lag_s

    def clear(self) -> None:
        """Discard the positions of an earlier term."""
        self.samples.clear()


def compute_confirm_lag(group: DatabaseGroup) -> float:
    """Return the replication lag of the slowest replica in the fastest majority.

    Args:
        group: The group.

    Returns:
        The lag in seconds; infinite if too few replicas are reachable.
    """
    needed = group.majority - 1
    reachable = [
        upstream
        for upstream in group.upstreams.values()
        if upstream.is_reachable and upstream.name != group.primary_name
    ]
    if len(reachable) < needed:
        return float("inf")
    lags = sorted(
        group.primary_history.compute_lag(upstream.status.received)
        for upstream in reachable
        if upstream.status is not None and upstream.is_following(group.term)
    )
    if len(lags) < needed:
        # Shortly after a promotion the replicas still switch to the new primary.
        return now_s() - (group.primary_learned_at_s or 0.0)
    return lags[needed - 1] if needed else 0.0
