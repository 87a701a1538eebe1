"""Requests of callers to a proxy and of a proxy to upstreams."""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct
from msgspec.structs import replace

from ebonyrack.core.position import LogPosition


class RequestKind(StrEnum):
    """Kind of request."""

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
    # Only proxies send the following kinds.
    DISCARD = "discard"
    STATUS = "status"
    PAUSE = "pause"
    RESUME = "resume"
    STEP_DOWN = "step_down"


class Request(Struct, frozen=True):
    """One request.

    Attributes:
        kind: Kind of request.
        request_id: The caller's id; None for a request that the proxy itself makes.
        text: The statement as sent by the caller, forwarded unchanged.
        name: Name of a session value or prepared statement.
        argument: Value, statement to prepare, arguments or term, depending on the kind.
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
        return (self.request_id or b"-").decode("ascii", "backslashreplace")

    def with_position(self, position: LogPosition | None) -> Request:
        """Return the same request with a position that the log must hold."""
        return replace(self, minimum_position=position)


BEGIN_REQUEST = Request(RequestKind.BEGIN)
ROLLBACK_REQUEST = Request(RequestKind.ROLLBACK)
DISCARD_REQUEST = Request(RequestKind.DISCARD)
STATUS_REQUEST = Request(RequestKind.STATUS)
RESUME_REQUEST = Request(RequestKind.RESUME)


def build_pause_request(term: int) -> Request:
    """Build the request to a replica to receive nothing of terms below a given one."""
    return Request(RequestKind.PAUSE, argument=str(term).encode())


def build_step_down_request(term: int) -> Request:
    """Build the request to a primary of a lower term to become a replica."""
    return Request(RequestKind.STEP_DOWN, argument=str(term).encode())
