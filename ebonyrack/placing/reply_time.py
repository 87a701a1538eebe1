"""Tracks reply times of an upstream and limits how long its silence is tolerated.

An upstream with a full queue replies on each of a proxy's few connections only after
some hundred milliseconds, while a crashed one never replies. Reads abandon the crashed
one, but don't cancel what the slow one is still working on.
"""

from __future__ import annotations

INITIAL_REPLY_TIME_S = 0.02
# Weights of the newest reply in the averages. An overloaded upstream replies to a proxy
# a few times a second, and an overload that lasts a few seconds must be detected within
# its first second.
MEAN_SMOOTHING = 0.25
DEVIATION_SMOOTHING = 0.25
# Without further replies the averages keep their full weight for this long, in seconds,
# and then lose half of it each half-life, as disturbances last a few seconds.
FULL_WEIGHT_S = 1.0
HALF_LIFE_S = 1.0
# Deviations above the mean after which no reply is expected, as in TCP's retransmission
# timer.
DEVIATION_FACTOR = 4.0
# Usual statements take a tenth of the minimum. The maximum is the time after which TCP
# itself breaks a connection whose bytes stay unacknowledged.
MINIMUM_SILENCE_LIMIT_S = 0.4
MAXIMUM_SILENCE_LIMIT_S = 1.5


class ReplyTime:
    """Moving averages of an upstream's reply times.

    A slow upstream gets less work, so its recovery might never be observed. Without new
    replies the averages therefore decay to their initial values.

    Attributes:
        mean_s: Mean at the newest reply, in seconds.
        deviation_s: Mean absolute deviation, in seconds.
        updated_at_s: Time of the newest reply, on the caller's clock.
    """

    __slots__ = ("mean_s", "deviation_s", "updated_at_s")

    def __init__(self) -> None:
        self.mean_s = INITIAL_REPLY_TIME_S
        self.deviation_s = INITIAL_REPLY_TIME_S / 2
        self.updated_at_s = 0.0

    def record(self, elapsed_s: float, now: float) -> None:
        """Update the averages with a reply time."""
        self.mean_s = self.estimate(now)
        self.deviation_s *= self.compute_decay(now)
        self.updated_at_s = now
        error_s = elapsed_s - self.mean_s
        self.mean_s += MEAN_SMOOTHING * error_s
        self.deviation_s += DEVIATION_SMOOTHING * (abs(error_s) - self.deviation_s)

    def compute_decay(self, now: float) -> float:
        """Return the remaining weight of the averages, 0 to 1."""
        decaying_s = now - self.updated_at_s - FULL_WEIGHT_S
        return 0.5 ** (max(0.0, decaying_s) / HALF_LIFE_S)

    def estimate(self, now: float) -> float:
        """Return the expected reply time in seconds."""
        return INITIAL_REPLY_TIME_S + (
            self.mean_s - INITIAL_REPLY_TIME_S
        ) * self.compute_decay(now)

    def compute_silence_limit(self, now: float) -> float:
        """Return the seconds of silence after which no reply is expected."""
        deviation_s = self.deviation_s * self.compute_decay(now)
        limit_s = self.estimate(now) + DEVIATION_FACTOR * deviation_s
        return min(MAXIMUM_SILENCE_LIMIT_S, max(MINIMUM_SILENCE_LIMIT_S, limit_s))
