"""Detects that an upstream has lost confirmed log entries."""

from __future__ import annotations

from ebonyrack.core.clock import now_s
from ebonyrack.core.position import LOG_START
from ebonyrack.core.position import LogPosition


class ConfirmedLog:
    """The confirmed part of an upstream's log, and whether the upstream still has it.

    No change of primary removes a confirmed position from a log. An upstream that
    reports less than the position with which it was counted in a majority has lost
    its log, for example a VM that returned under its old name with an empty disk. It
    counts in no majority until it holds everything that the serving primary held
    after the loss was detected.

    Attributes:
        position: Highest confirmed position that the upstream is known to have held.
        confirmed_at_s: Monotonic time at which `position` last advanced.
        regressed_at_s: Monotonic time at which the loss was detected, or None.
        catch_up_target: Position to reach before the upstream counts again, or None
            while the primary has not been polled since the loss.
    """

    __slots__ = ("position", "confirmed_at_s", "regressed_at_s", "catch_up_target")

    def __init__(self) -> None:
        self.position = LOG_START
        self.confirmed_at_s = 0.0
        self.regressed_at_s: float | None = None
        self.catch_up_target: LogPosition | None = None

    @property
    def is_regressed(self) -> bool:
        """Whether the upstream lacks confirmed log entries."""
        return self.regressed_at_s is not None

    def record_confirmed(self, position: LogPosition) -> None:
        """Record a confirmed position that the upstream holds.

        Args:
            position: The position.
        """
        if position > self.position:
            self.position = position
            self.confirmed_at_s = now_s()

    def observe(self, received: LogPosition, poll_sent_at_s: float) -> bool:
        """Update the state from the position that the upstream reports.

        Replies on two connections may arrive out of order, so a reply is ignored if
        its poll was sent before the last change of state.

        Args:
            received: Position of the last entry of its log.
            poll_sent_at_s: Monotonic time at which the poll was sent.

        Returns:
            Whether a loss was detected, or the log has caught up.
        """
        if self.regressed_at_s is None:
            if received >= self.position or poll_sent_at_s <= self.confirmed_at_s:
                return False
            self.regressed_at_s = now_s()
            self.catch_up_target = None
            return True
        if poll_sent_at_s <= self.regressed_at_s or not self.holds(received):
            return False
        self.regressed_at_s = None
        return True

    def observe_primary(self, received: LogPosition, poll_sent_at_s: float) -> None:
        """Set the catch-up target from a status of the serving primary.

        Args:
            received: Position of the last entry of the primary's log.
            poll_sent_at_s: Monotonic time at which the poll of the primary was sent.
        """
        if self.regressed_at_s is None or self.catch_up_target is not None:
            return
        if poll_sent_at_s > self.regressed_at_s:
            self.catch_up_target = max(received, self.position)

    def holds(self, received: LogPosition) -> bool:
        """Return whether a log that ends at a position may count in a majority.

        Args:
            received: Position of its last entry, as reported by a grant or status.

        Returns:
            Whether it holds every entry that it is known to need.
        """
        if self.regressed_at_s is None:
            return received >= self.position
        return self.catch_up_target is not None and received >= self.catch_up_target
