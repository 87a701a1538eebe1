"""The error of a connection to an upstream that can't be used any more."""

from __future__ import annotations


class UpstreamLostError(Exception):
    """The connection to an upstream can't be used any more.

    Attributes:
        reason: What happened.
        sqlstate: Code of the upstream's own error answer, or an empty string.
    """

    def __init__(self, reason: str, sqlstate: str = "") -> None:
        super().__init__(reason)
        self.reason = reason
        self.sqlstate = sqlstate
