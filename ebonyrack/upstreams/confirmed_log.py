"""What an upstream was counted with, and whether it has lost it since."""

from __future__ import annotations

from ebonyrack.core.clock import now_s
from ebonyrack.core.position import LOG_START
from ebonyrack.core.position import LogPosition


class ConfirmedLog:
    """The part of an upstream's log that made a majority for confirmed writes.

    No change of primary cuts a confirmed position out of a log. An upstream that
    reports less than it was counted with has lost its log, as a VM does that comes
    back under its old name with an empty disk. It makes no majority until it holds
    all that the serving primary held after the loss was seen.

    Attributes:
        position: Highest confirmed position that the upstream was counted with.
        counted_at_s: Monotonic time at which it was last raised.
        lost_at_s: Monotonic time at which the loss was seen, or None.
        target: Position to reach before it counts again, or None while the primary
            has not been asked since.
    """

    __slots__ = ("position", "counted_at_s", "lost_at_s", "target")

    def __init__(self) -> None:
        self.position = LOG_START
        self.counted_at_s = 0.0
        self.lost_at_s: float | None = None
        self.target: LogPosition | None = None

    @property
    def is_lost(self) -> bool:
        """Whether it lacks what it was counted with."""
        return self.lost_at_s is not None

    def count(self, position: LogPosition) -> None:
        """Remember a confirmed position that the upstream was counted with.

        Args:
            position: The position.
        """
        if position > self.position:
            self.position = position
            self.counted_at_s = now_s()

    def observe(self, received: LogPosition, asked_at_s: float) -> bool:
        """Draw the conclusions from what the upstream has received.

        Two connections may answer in another order than they were asked, so an
        answer proves nothing if it was asked for before the last conclusion.

        Args:
            received: Position of the last entry of its log.
            asked_at_s: Monotonic time at which it was asked for.

        Returns:
            Whether it was found lost, or complete again.
        """
        if self.lost_at_s is None:
            if received >= self.position or asked_at_s <= self.counted_at_s:
                return False
            self.lost_at_s = now_s()
            self.target = None
            return True
        if asked_at_s <= self.lost_at_s or not self.holds(received):
            return False
        self.lost_at_s = None
        return True

    def observe_primary(self, received: LogPosition, asked_at_s: float) -> None:
        """Set what a lost log must reach from an answer of the serving primary.

        Args:
            received: Position of the last entry of the primary's log.
            asked_at_s: Monotonic time at which the primary was asked.
        """
        if self.lost_at_s is None or self.target is not None:
            return
        if asked_at_s > self.lost_at_s:
            self.target = max(received, self.position)

    def holds(self, received: LogPosition) -> bool:
        """Tell whether a log that ends at a position may count in a majority.

        Args:
            received: Position of its last entry, as a grant or answer reports it.

        Returns:
            Whether it holds all that is known to be needed.
        """
        if self.lost_at_s is None:
            return received >= self.position
        return self.target is not None and received >= self.target
