"""Whether an upstream still answers, from what was sent and heard."""

from __future__ import annotations

import itertools

from ebonyrack.core.clock import boot_time_s


class Liveness:
    """What was sent to an upstream without an answer, and when it was last heard.

    Times are on the clock that goes on while the VM is suspended.

    Attributes:
        unanswered: Time of sending of each exchange without an answer.
        heard_at_s: Time of the last answer of any kind; 0 if none came yet.
        refused_since_s: Time of the first of the refused connections since the last
            answer, or None.
        numbers: Numbers for exchanges.
    """

    __slots__ = ("unanswered", "heard_at_s", "refused_since_s", "numbers")

    def __init__(self) -> None:
        self.unanswered: dict[int, float] = {}
        self.heard_at_s = 0.0
        self.refused_since_s: float | None = None
        self.numbers = itertools.count()

    def note_sent(self) -> int:
        """Note that something was sent; return the number of the exchange."""
        number = next(self.numbers)
        self.unanswered[number] = boot_time_s()
        return number

    def note_heard(self) -> None:
        """Note that an answer came."""
        self.heard_at_s = boot_time_s()
        self.refused_since_s = None

    def note_refused(self) -> None:
        """Note that a connection was refused."""
        if self.refused_since_s is None:
            self.refused_since_s = boot_time_s()

    def note_ended(self, number: int) -> None:
        """Note that an exchange was answered or given up."""
        self.unanswered.pop(number, None)

    def measure_silence(self) -> float:
        """Return for how long an exchange waits without anything being heard."""
        if not self.unanswered:
            return 0.0
        oldest_s = min(self.unanswered.values())
        return max(0.0, boot_time_s() - max(oldest_s, self.heard_at_s))

    def measure_refusal(self) -> float:
        """Return for how long connections have been refused, in seconds."""
        if self.refused_since_s is None:
            return 0.0
        return boot_time_s() - self.refused_since_s
