"""What an upstream answers to a statement, and what a caller is answered."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum

from ebonyrack.core.errors import RequestError
from ebonyrack.core.position import LogPosition


class TransactionState(StrEnum):
    """State of a session after an answer."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class RejectionKind(StrEnum):
    """Why an upstream did not do what a statement asks for."""

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
        """Whether the upstream promises that nothing of the statement ran."""
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


@dataclass(slots=True)
class Reply:
    """An upstream's whole answer to one statement.

    Attributes:
        rows: Payload of each row, as the bytes that came.
        signature: The upstream's mark on a success; None after a rejection.
        rejection: Why it was rejected, or None.
        detail: Text of the rejection.
        state: State of the upstream's session afterwards.
        position: Position of the upstream's log, or None if it named none.
    """

    rows: list[bytes] = field(default_factory=list)
    signature: bytes | None = None
    rejection: RejectionKind | None = None
    detail: str = ""
    state: TransactionState = TransactionState.IDLE
    position: LogPosition | None = None


@dataclass(frozen=True, slots=True)
class UpstreamStatus:
    """What an upstream says of its part in the group.

    Attributes:
        is_primary: Whether it sees itself as the primary.
        term: Newest term that it knows.
        received: Position up to which it has received the log.
        paused_term: Term below which it receives nothing; 0 without a pause.
        lag_s: How far its applied position is behind, in seconds.
        busy_slots: Slots in use.
        connections: Open connections of all proxies.
    """

    is_primary: bool
    term: int
    received: LogPosition
    paused_term: int
    lag_s: float
    busy_slots: int
    connections: int


@dataclass(slots=True)
class Answer:
    """What a caller is answered to one request.

    Attributes:
        rows: Payload of each row.
        signature: The upstream's mark; None if the proxy answers by itself.
        error: Why the request ended without success, or None.
        state: State of the caller's session.
    """

    state: TransactionState
    rows: list[bytes] = field(default_factory=list)
    signature: bytes | None = None
    error: RequestError | None = None
