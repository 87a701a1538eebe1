"""Log positions that cover all commits acknowledged before a given time."""

from __future__ import annotations

from collections import deque

from msgspec import Struct

from ebonyrack.core.position import LogPosition

# Routes allow reads that are a few seconds stale at most.
SAMPLE_RETENTION_S = 10.0


class PositionSample(Struct, frozen=True):
    """A log position and the time at which the probe for it was sent.

    The upstream was proven to be the primary when it replied, so every commit
    acknowledged before `sent_at_s` is at or before `position`.

    Attributes:
        sent_at_s: Time at which the probe was sent, on the boot clock.
        position: Position of the primary's log.
    """

    sent_at_s: float
    position: LogPosition


class PositionHistory:
    """Recent position samples of a group's primary, the oldest first.

    Attributes:
        samples: The retained samples.
    """

    __slots__ = ("samples",)

    def __init__(self) -> None:
        self.samples: deque[PositionSample] = deque()

    def add(self, sample: PositionSample) -> None:
        """Add a sample unless its probe was sent before that of the newest one."""
        samples = self.samples
        if samples and sample.sent_at_s < samples[-1].sent_at_s:
            return
        samples.append(sample)
        while samples[0].sent_at_s < sample.sent_at_s - SAMPLE_RETENTION_S:
            samples.popleft()

    def clear(self) -> None:
        """Drop the samples of an earlier primary."""
        self.samples.clear()

    def find_position(self, time_s: float) -> LogPosition | None:
        """Return a position that covers all commits acknowledged before a time.

        The oldest such sample is used, as more replicas have reached its position.

        Args:
            time_s: The time, on the boot clock.

        Returns:
            The position, or None if no sample is recent enough.
        """
        for sample in self.samples:
            if sample.sent_at_s >= time_s:
                return sample.position
        return None

    def find_newest_before(self, time_s: float) -> LogPosition | None:
        """Return the newest position that the primary had before a time, or None.

        Args:
            time_s: The time, on the boot clock.
        """
        for sample in reversed(self.samples):
            if sample.sent_at_s < time_s:
                return sample.position
        return None

    def measure_age(self, now_s: float) -> float:
        """Return the age of the newest sample in seconds, infinite without one."""
        return now_s - self.samples[-1].sent_at_s if self.samples else float("inf")
