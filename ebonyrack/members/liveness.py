"""Tracks whether an upstream still replies."""

from __future__ import annotations

import itertools

from ebonyrack.core.clock import boot_time_s

# Silence below this is usual under load, in seconds.
DISTURBING_SILENCE_S = 0.2


class Liveness:
    """Records unanswered exchanges with an upstream and the time of its last reply.

    Times are on the boot clock, which continues while the VM is suspended.

    Attributes:
        unanswered: Send time of each exchange without a reply, by number.
        replied_at_s: Time of the last reply of any kind; 0 if none came yet.
        abandoned_sent_s: Send time of the first exchange since the last reply that
            was abandoned or whose connection broke; None if there is none.
        refused_since_s: Time of the first refused connection since the last reply, or
            None.
        refused_at_s: Time of the last refused connection; far in the past if none was.
        is_replaced: Whether another upstream has answered at its address since its last
            reply.
        disturbed_at_s: Time at which it was last known to be silent or to refuse
            connections; far in the past if it never was.
        interrupted_at_s: Time at which a connection was last refused or found broken,
            as by a restart; far in the past if none was.
        exchange_numbers: Source of exchange numbers.
    """

    __slots__ = (
        "unanswered",
        "replied_at_s",
        "abandoned_sent_s",
        "refused_since_s",
        "refused_at_s",
        "is_replaced",
        "disturbed_at_s",
        "interrupted_at_s",
        "exchange_numbers",
    )

    def __init__(self) -> None:
        self.unanswered: dict[int, float] = {}
        self.replied_at_s = 0.0
        self.abandoned_sent_s: float | None = None
        self.refused_since_s: float | None = None
        self.refused_at_s = float("-inf")
        self.is_replaced = False
        self.disturbed_at_s = float("-inf")
        self.interrupted_at_s = float("-inf")
        self.exchange_numbers = itertools.count()

    def record_sent(self) -> int:
        """Record the start of an exchange and return its number."""
        number = next(self.exchange_numbers)
        self.unanswered[number] = boot_time_s()
        return number

    def record_reply(self) -> None:
        """Record a reply."""
        if self.is_disturbed():
            self.disturbed_at_s = boot_time_s()
        self.replied_at_s = boot_time_s()
        self.abandoned_sent_s = None
        self.refused_since_s = None
        self.is_replaced = False

    def record_replaced(self) -> None:
        """Record that another upstream answered at the address."""
        self.is_replaced = True

    def record_interruption(self) -> None:
        """Record that a connection was broken by the upstream or on the way."""
        self.interrupted_at_s = boot_time_s()

    def record_refusal(self) -> None:
        """Record a refused connection."""
        self.refused_at_s = self.interrupted_at_s = boot_time_s()
        if self.refused_since_s is None:
            self.refused_since_s = boot_time_s()

    def record_ended(self, number: int, was_abandoned: bool = False) -> None:
        """Record the end of an exchange.

        Args:
            number: Number of the exchange.
            was_abandoned: Whether no reply came in time or the connection broke, so
                that the silence continues.
        """
        sent_s = self.unanswered.pop(number, None)
        if sent_s is None or not was_abandoned or sent_s < self.replied_at_s:
            return
        if self.abandoned_sent_s is None or sent_s < self.abandoned_sent_s:
            self.abandoned_sent_s = sent_s

    def reset_silence(self) -> None:
        """Measure silence from now on, as this proxy itself was suspended."""
        now = boot_time_s()
        self.disturbed_at_s = now
        self.unanswered = dict.fromkeys(self.unanswered, now)
        self.abandoned_sent_s = None
        self.refused_since_s = None

    def measure_silence(self) -> float:
        """Return for how long exchanges have waited without any reply, in seconds."""
        sent_s = list(self.unanswered.values())
        if self.abandoned_sent_s is not None:
            sent_s.append(self.abandoned_sent_s)
        if not sent_s:
            return 0.0
        return max(0.0, boot_time_s() - max(min(sent_s), self.replied_at_s))

    def is_disturbed(self) -> bool:
        """Return whether it is silent or refuses connections now."""
        if self.refused_since_s is not None:
            return True
        return self.measure_silence() > DISTURBING_SILENCE_S

    def measure_calm(self, since_s: float) -> float:
        """Return the seconds since it was last silent or refused connections.

        Args:
            since_s: Time on the boot clock; what was before it doesn't count.
        """
        if self.is_disturbed():
            return 0.0
        if self.disturbed_at_s < since_s:
            return float("inf")
        return boot_time_s() - self.disturbed_at_s

    def measure_refusal(self) -> float:
        """Return for how long connections have been refused, in seconds."""
        if self.refused_since_s is None:
            return 0.0
        return boot_time_s() - self.refused_since_s
