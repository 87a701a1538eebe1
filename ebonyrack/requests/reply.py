"""Replies of upstreams to requests, and answers to callers."""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct
from msgspec import field

from ebonyrack.core.errors import RequestError
from ebonyrack.core.position import LogPosition


class TransactionState(StrEnum):
    """Transaction state of a session after a reply."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class RejectionKind(StrEnum):
    """Reason for which an upstream rejected a request."""

    BUSY = "busy"
    LAGGING = "lagging"
    READ_ONLY = "read_only"
    WRONG_UPSTREAM = "wrong_upstream"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    UNKNOWN_STATEMENT = "unknown_statement"
    FAILED = "failed"
    TIMED_OUT = "timed_out"
    OTHER = "other"

    @property
    def is_not_run(self) -> bool:
        """Whether the upstream guarantees that nothing of the request ran."""
        return self in NOT_RUN


NOT_RUN = frozenset(
    {
        RejectionKind.BUSY,
        RejectionKind.LAGGING,
        RejectionKind.READ_ONLY,
        RejectionKind.WRONG_UPSTREAM,
        RejectionKind.TOO_MANY_CONNECTIONS,
        RejectionKind.UNKNOWN_STATEMENT,
    }
)


class Reply(Struct):
    """An upstream's complete reply to one request.

    Attributes:
        rows: Payload of each row, as the bytes received.
        signature: The upstream's signature on success; None after a rejection.
        rejection: Reason of a rejection, or None.
        detail: Text of the rejection.
        state: State of the upstream's session afterwards.
        position: Position of the upstream's log, or None if it reported none.
    """

    rows: list[bytes] = field(default_factory=list)
    signature: bytes | None = None
    rejection: RejectionKind | None = None
    detail: str = ""
    state: TransactionState = TransactionState.IDLE
    position: LogPosition | None = None


class UpstreamStatus(Struct, frozen=True):
    """Status that an upstream reports of itself.

    Attributes:
        is_primary: Whether it sees itself as the primary.
        term: Newest term that it knows.
        received: Position up to which it has received the log.
        paused_term: Term below which it receives nothing; 0 without a pause.
        lag_s: Replication lag of its applied position, in seconds.
        busy_slots: Number of slots in use.
        connections: Number of open connections from all proxies.
    """

    is_primary: bool
    term: int
    received: LogPosition
    paused_term: int
    lag_s: float
    busy_slots: int
    connections: int

    @property
    def is_paused(self) -> bool:
        """Whether it receives nothing in its term; a newer term ends its pause."""
        return self.paused_term > self.term


class Answer(Struct):
    """Answer to one request of a caller.

    Attributes:
        rows: Payload of each row.
        signature: The upstream's signature; None if the proxy itself answers.
        error: Error with which the request failed, or None.
        state: State of the caller's session.
    """

    state: TransactionState
    rows: list[bytes] = field(default_factory=list)
    signature: bytes | None = None
    error: RequestError | None = None
