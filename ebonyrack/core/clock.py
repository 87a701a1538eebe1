"""Clocks, and detection of a suspended process."""

from __future__ import annotations

import time
from collections.abc import Callable


def now_s() -> float:
    """Return this process's monotonic time in seconds."""
    return time.monotonic()


class PauseDetector:
    """Detects that this process was paused between two of its scheduled wake-ups.

    Attributes:
        limit_s: Lateness above which a wake-up counts as a pause, in seconds.
        read_clock: Clock in seconds; the boot clock also detects that the VM was
            suspended.
        expected_s: Time on that clock at which the next wake-up is due, or None.
    """

    __slots__ = ("limit_s", "read_clock", "expected_s")

    def __init__(self, limit_s: float, read_clock: Callable[[], float] = now_s) -> None:
        self.limit_s = limit_s
        self.read_clock = read_clock
        self.expected_s: float | None = None

    def schedule(self, delay_s: float) -> None:
        """Schedule the next expected wake-up.

        Args:
            delay_s: Seconds until the wake-up.
        """
        self.expected_s = self.read_clock() + delay_s

    def measure_pause(self) -> float:
        """Return how late the wake-up was, in seconds; 0 within the limit."""
        if self.expected_s is None:
            return 0.0
        lateness_s = self.read_clock() - self.expected_s
        return lateness_s if lateness_s > self.limit_s else 0.0


def boot_time_s() -> float:
    """Return the seconds since the VM started, including while it was suspended.

    Ages of data from other VMs are measured on this clock: the monotonic clock stops
    while the VM is suspended, but other VMs continue.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
