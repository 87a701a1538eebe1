"""Positions that cover all commits acknowledged before a known time."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from ebonyrack.core.position import LogPosition

# The stalest reads that routes allow are some seconds old.
HISTORY_S = 10.0


@dataclass(frozen=True, slots=True)
class PositionSample:
    """A position with the time at which it was asked for.

    It was named by an upstream that provably led when it answered, so each commit
    that was acknowledged before `sent_at_s` is at or before `position`.

    Attributes:
        sent_at_s: Time of sending of the question, on the boot clock.
        position: Position of the primary's log.
    """

    sent_at_s: float
    position: LogPosition


class PositionHistory:
    """Samples of a group's primary, the oldest first.

    Attributes:
        samples: The samples that are kept.
    """

    __slots__ = ("samples",)

    def __init__(self) -> None:
        self.samples: deque[PositionSample] = deque()

    def add(self, sample: PositionSample) -> None:
        """Keep a sample; questions that overlapped may come in any order."""
        samples = self.samples
        if samples and sample.sent_at_s < samples[-1].sent_at_s:
            return
        samples.append(sample)
        while samples[0].sent_at_s < sample.sent_at_s - HISTORY_S:
            samples.popleft()

    def clear(self) -> None:
        """Forget the samples of an earlier primary."""
        self.samples.clear()

    def find_position(self, time_s: float) -> LogPosition | None:
        """Return a position that covers all commits acknowledged before a time.

        The oldest sample that does so is taken, as more replicas have reached it.

        Args:
            time_s: The time, on the boot clock.

        Returns:
            The position, or None if no sample is young enough.
        """
        for sample in self.samples:
            if sample.sent_at_s >= time_s:
                return sample.position
        return None

    def measure_age(self, now_s: float) -> float:
        """Return the age of the newest sample, in seconds."""
        return now_s - self.samples[-1].sent_at_s if self.samples else float("inf")
