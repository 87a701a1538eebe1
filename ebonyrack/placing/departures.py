"""Commits that only upstreams which have left a group may have received.

A commit is acknowledged once one replica has received it. After that replica has left,
the other replicas don't show the commit; the log of the primary does.
"""

from __future__ import annotations

from ebonyrack.core.position import LogPosition
from ebonyrack.placing.position_history import PositionSample


class Departures:
    """What upstreams that have left a group may hold, as one proxy knows it.

    Attributes:
        primary_id: The primary that was last known, or None.
        last_s: Time, on the boot clock, since which no upstream has left; before the
            first departure, the time since which the proxy has known the group.
        has_departed: Whether an upstream has left since the primary last changed.
        position: First position of the primary that was sampled after `last_s`. It
            covers all that the upstreams which have left may hold. None without one.
    """

    __slots__ = ("primary_id", "last_s", "has_departed", "position")

    def __init__(self, known_since_s: float) -> None:
        self.primary_id: str | None = None
        self.last_s = known_since_s
        self.has_departed = False
        self.position: LogPosition | None = None

    def record(self, now_s: float) -> None:
        """Record that an upstream has left."""
        self.last_s = now_s
        self.has_departed = True
        self.position = None

    def record_primary(self, member_id: str, now_s: float) -> None:
        """Record the primary; the log of another one holds all that counted before."""
        former_id, self.primary_id = self.primary_id, member_id
        if former_id in (None, member_id) or now_s < self.last_s:
            return
        self.last_s = now_s
        self.has_departed = False
        self.position = None

    def add_sample(self, sample: PositionSample) -> None:
        """Use a position of the primary, unless an earlier one covers all."""
        if self.position is None and sample.sent_at_s >= self.last_s:
            self.position = sample.position
