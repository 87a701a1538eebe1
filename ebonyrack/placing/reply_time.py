"""How long an upstream takes to answer, and after which silence it is left.

Load answered: an upstream whose queue is full answers each of the few connections of a
proxy after some hundred milliseconds only, while one that has crashed never does. Reads
leave the second one for good and don't break off what the first one works on.
"""

from __future__ import annotations

INITIAL_REPLY_TIME_S = 0.02
# Weights of the newest reply in the averages. A crowded upstream answers a proxy some
# times a second, and a crowd of a few seconds must be noticed within the first.
MEAN_SMOOTHING = 0.25
DEVIATION_SMOOTHING = 0.25
# Without a further reply the averages count in full as long as this, in seconds, and
# then half as much after each further second: troubles last some seconds.
FULL_WEIGHT_S = 1.0
HALF_LIFE_S = 1.0
# Deviations above the mean after which no answer is expected, as for TCP's
# retransmission timer.
DEVIATION_FACTOR = 4.0
# Usual statements take a tenth of the shortest limit. The longest one is the time after
# which TCP itself breaks a connection whose bytes stay unacknowledged.
MINIMUM_SILENCE_LIMIT_S = 0.4
MAXIMUM_SILENCE_LIMIT_S = 1.5


class ReplyTime:
    """Moving averages of an upstream's reply times.

    One that answered slowly gets less work, and so might never be seen to have become
    fast again; what is known of it fades.

    Attributes:
        mean_s: Average at the newest reply, in seconds.
        deviation_s: Average distance from it, in seconds.
        updated_at_s: Time of the newest reply, on the caller's clock.
    """

    __slots__ = ("mean_s", "deviation_s", "updated_at_s")

    def __init__(self) -> None:
        self.mean_s = INITIAL_REPLY_TIME_S
        self.deviation_s = INITIAL_REPLY_TIME_S / 2
        self.updated_at_s = 0.0

    def record(self, elapsed_s: float, now: float) -> None:
        """Take a reply time into the averages."""
        self.mean_s = self.estimate(now)
        self.deviation_s *= self.compute_decay(now)
        self.updated_at_s = now
        error_s = elapsed_s - self.mean_s
        self.mean_s += MEAN_SMOOTHING * error_s
        self.deviation_s += DEVIATION_SMOOTHING * (abs(error_s) - self.deviation_s)

    def compute_decay(self, now: float) -> float:
        """Return the share of what is known that still counts, 0 to 1."""
        silent_s = now - self.updated_at_s - FULL_WEIGHT_S
        return 0.5 ** (max(0.0, silent_s) / HALF_LIFE_S)

    def estimate(self, now: float) -> float:
        """Return how long a reply is expected to take, in seconds."""
        return INITIAL_REPLY_TIME_S + (
            self.mean_s - INITIAL_REPLY_TIME_S
        ) * self.compute_decay(now)

    def compute_silence_limit(self, now: float) -> float:
        """Return the seconds of silence after which no answer is expected any more."""
        deviation_s = self.deviation_s * self.compute_decay(now)
        limit_s = self.estimate(now) + DEVIATION_FACTOR * deviation_s
        return min(MAXIMUM_SILENCE_LIMIT_S, max(MINIMUM_SILENCE_LIMIT_S, limit_s))
