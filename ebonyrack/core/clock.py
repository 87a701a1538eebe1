"""Monotonic time and detection of a paused process."""

from __future__ import annotations

import time


def now_s() -> float:
    """Return this process's monotonic time in seconds."""
    return time.monotonic()


class PauseDetector:
    """Notices that this process was paused between two of its own wake-ups.

    Attributes:
        limit_s: A longer lateness than this counts as a pause, in seconds.
        expected_s: Monotonic time at which the next wake-up was due.
    """

    __slots__ = ("limit_s", "expected_s")

    def __init__(self, limit_s: float) -> None:
        self.limit_s = limit_s
        self.expected_s: float | None = None

    def schedule(self, delay_s: float) -> None:
        """Note that the next wake-up is due after a delay.

        Args:
            delay_s: Seconds until the wake-up.
        """
        self.expected_s = now_s() + delay_s

    def measure_pause(self) -> float:
        """Return by how many seconds the wake-up came late, 0 within the limit."""
        if self.expected_s is None:
            return 0.0
        lateness_s = now_s() - self.expected_s
        return lateness_s if lateness_s > self.limit_s else 0.0


def boot_time_s() -> float:
    """Return the seconds since the VM started, also those while it was suspended.

    Ages of what was heard from other machines are measured on this clock: the
    monotonic clock stops while the VM is suspended, and others go on meanwhile.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
