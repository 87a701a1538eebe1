"""The error for a connection to an upstream that can no longer be used."""

from __future__ import annotations

# SQLSTATE of the error of an upstream that has no connection to spare.
TOO_MANY_CONNECTIONS = "53300"


class UpstreamLostError(Exception):
    """The connection to an upstream can no longer be used.

    Attributes:
        reason: What happened.
        sqlstate: SQLSTATE of the upstream's error response, or an empty string.
    """

    def __init__(self, reason: str, sqlstate: str = "") -> None:
        super().__init__(reason)
        self.reason = reason
        self.sqlstate = sqlstate
