"""Exponential backoff with jitter."""

from __future__ import annotations

import random


class Backoff:
    """Delays between failed attempts, doubled after each up to a maximum.

    Attributes:
        first_s: Upper bound of the first delay, in seconds.
        maximum_s: Upper bound of all delays, in seconds.
        next_s: Upper bound of the next delay, in seconds.
    """

    __slots__ = ("first_s", "maximum_s", "next_s")

    def __init__(self, first_s: float, maximum_s: float) -> None:
        self.first_s = first_s
        self.maximum_s = maximum_s
        self.next_s = first_s

    def choose_delay(self) -> float:
        """Return the delay in seconds after another failure."""
        delay_s = random.uniform(self.next_s / 2, self.next_s)
        self.next_s = min(2 * self.next_s, self.maximum_s)
        return delay_s

    def reset(self) -> None:
        """Start over after a success."""
        self.next_s = self.first_s
