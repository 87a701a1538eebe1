"""Whether an upstream still answers, from what was sent and heard."""

from __future__ import annotations

import itertools

from ebonyrack.core.clock import boot_time_s


class Liveness:
    """What was sent to an upstream without an answer, and when it was last heard.

    Times are on the clock that goes on while the VM is suspended.

    Attributes:
        unanswered: Time of sending of each exchange without an answer.
        replied_at_s: Time of the last answer of any kind; 0 if none came yet.
        abandoned_sent_s: Time of sending of the first exchange since the last answer
            that was given up or whose connection broke; None if there is none.
        refused_since_s: Time of the first of the refused connections since the last
            answer, or None.
        exchange_numbers: Numbers for exchanges.
    """

    __slots__ = (
        "unanswered",
        "replied_at_s",
        "abandoned_sent_s",
        "refused_since_s",
        "exchange_numbers",
    )

    def __init__(self) -> None:
        self.unanswered: dict[int, float] = {}
        self.replied_at_s = 0.0
        self.abandoned_sent_s: float | None = None
        self.refused_since_s: float | None = None
        self.exchange_numbers = itertools.count()

    def record_sent(self) -> int:
        """Note that something was sent; return the number of the exchange."""
        number = next(self.exchange_numbers)
        self.unanswered[number] = boot_time_s()
        return number

    def record_reply(self) -> None:
        """Note that an answer came."""
        self.replied_at_s = boot_time_s()
        self.abandoned_sent_s = None
        self.refused_since_s = None

    def record_refusal(self) -> None:
        """Note that a connection was refused."""
        if self.refused_since_s is None:
            self.refused_since_s = boot_time_s()

    def record_ended(self, number: int, was_abandoned: bool = False) -> None:
        """Note that an exchange has ended.

        Args:
            number: Number of the exchange.
            was_abandoned: Whether no answer came in time or the connection broke, so
                that the silence goes on.
        """
        sent_s = self.unanswered.pop(number, None)
        if sent_s is None or not was_abandoned or sent_s < self.replied_at_s:
            return
        if self.abandoned_sent_s is None or sent_s < self.abandoned_sent_s:
            self.abandoned_sent_s = sent_s

    def reset_silence(self) -> None:
        """Count silence from now, as this proxy itself was away."""
        now = boot_time_s()
        self.unanswered = dict.fromkeys(self.unanswered, now)
        self.abandoned_sent_s = None
        self.refused_since_s = None

    def measure_silence(self) -> float:
        """Return for how long an exchange waits without anything being heard."""
        sent_s = list(self.unanswered.values())
        if self.abandoned_sent_s is not None:
            sent_s.append(self.abandoned_sent_s)
        if not sent_s:
            return 0.0
        return max(0.0, boot_time_s() - max(min(sent_s), self.replied_at_s))

    def measure_refusal(self) -> float:
        """Return for how long connections have been refused, in seconds."""
        if self.refused_since_s is None:
            return 0.0
        return boot_time_s() - self.refused_since_s
