"""How long an upstream takes to answer, and after which silence it is left.

Load answered: an upstream whose queue is full answers each of the few connections of a
proxy after some hundred milliseconds only, while one that has crashed never does. Reads
leave the second one for good and don't break off what the first one works on.
"""

from __future__ import annotations

INITIAL_S = 0.02
# Weights of the newest reply in the averages. A crowded upstream answers a proxy some
# times a second, and a crowd of a few seconds must be noticed within the first.
MEAN_SMOOTHING = 0.25
DEVIATION_SMOOTHING = 0.25
# Without a further reply the averages count in full as long as this, in seconds, and
# then half as much after each further second: troubles last some seconds.
KEPT_S = 1.0
HALVED_S = 1.0
# Deviations above the mean after which no answer is expected, as for TCP's
# retransmission timer.
DEVIATIONS = 4.0
# Usual statements take a tenth of the shortest limit. The longest one is the time after
# which TCP itself breaks a connection whose bytes stay unacknowledged.
SHORTEST_LIMIT_S = 0.4
LONGEST_LIMIT_S = 1.5


class ReplyTime:
    """Moving averages of an upstream's reply times.

    One that answered slowly gets less work, and so might never be seen to have become
    fast again; what is known of it fades.

    Attributes:
        mean_s: Average at the newest reply, in seconds.
        deviation_s: Average distance from it, in seconds.
        noted_at_s: Time of the newest reply, on the caller's clock.
    """

    __slots__ = ("mean_s", "deviation_s", "noted_at_s")

    def __init__(self) -> None:
        self.mean_s = INITIAL_S
        self.deviation_s = INITIAL_S / 2
        self.noted_at_s = 0.0

    def note(self, elapsed_s: float, now: float) -> None:
        """Take a reply time into the averages."""
        self.mean_s = self.estimate(now)
        self.deviation_s *= self.measure_faded(now)
        self.noted_at_s = now
        error_s = elapsed_s - self.mean_s
        self.mean_s += MEAN_SMOOTHING * error_s
        self.deviation_s += DEVIATION_SMOOTHING * (abs(error_s) - self.deviation_s)

    def measure_faded(self, now: float) -> float:
        """Return the share of what is known that still counts, 0 to 1."""
        silent_s = now - self.noted_at_s - KEPT_S
        return 0.5 ** (max(0.0, silent_s) / HALVED_S)

    def estimate(self, now: float) -> float:
        """Return how long a reply is expected to take, in seconds."""
        return INITIAL_S + (self.mean_s - INITIAL_S) * self.measure_faded(now)

    def limit_silence(self, now: float) -> float:
        """Return the seconds of silence after which no answer is expected any more."""
        deviation_s = self.deviation_s * self.measure_faded(now)
        limit_s = self.estimate(now) + DEVIATIONS * deviation_s
        return min(LONGEST_LIMIT_S, max(SHORTEST_LIMIT_S, limit_s))
