"""One statement that a caller sends or that a proxy sends to an upstream."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from enum import StrEnum

from ebonyrack.core.position import LogPosition


class RequestKind(StrEnum):
    """What a statement asks for."""

    BEGIN = "begin"
    BEGIN_READ_ONLY = "begin_read_only"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    READ = "read"
    WRITE = "write"
    SET = "set"
    PREPARE = "prepare"
    EXECUTE = "execute"
    CLOSE = "close"
    # The rest is sent by proxies only.
    DISCARD = "discard"
    STATUS = "status"
    PAUSE = "pause"
    RESUME = "resume"


@dataclass(frozen=True, slots=True)
class Request:
    """One statement.

    Attributes:
        kind: What it asks for.
        request_id: The caller's id; None for a statement of the proxy's own.
        text: The statement as the caller sent it, passed on unchanged.
        name: Name of a session value or prepared statement.
        argument: Value, shape, arguments or term, as the kind needs it.
        writes: Whether a prepared statement writes.
        minimum_position: Position that the upstream's log must hold, or None.
    """

    kind: RequestKind
    request_id: bytes | None = None
    text: bytes = b""
    name: bytes = b""
    argument: bytes = b""
    writes: bool = False
    minimum_position: LogPosition | None = None

    @property
    def log_id(self) -> str:
        """The caller's id, for logs."""
        return (self.request_id or b"-").decode("ascii", "replace")

    def with_position(self, position: LogPosition | None) -> Request:
        """Return the same statement with a position that the log must hold."""
        return replace(self, minimum_position=position)


BEGIN_REQUEST = Request(RequestKind.BEGIN)
ROLLBACK_REQUEST = Request(RequestKind.ROLLBACK)
DISCARD_REQUEST = Request(RequestKind.DISCARD)
STATUS_REQUEST = Request(RequestKind.STATUS)
RESUME_REQUEST = Request(RequestKind.RESUME)


def build_pause_request(term: int) -> Request:
    """Build the order to a replica to receive nothing of terms below one."""
    return Request(RequestKind.PAUSE, argument=str(term).encode())
