"""An open transaction of a session with a stand-in upstream."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from ebonyrack.standins.log import LoggedStatement
from ebonyrack.standins.log import SqlValue


@dataclass(frozen=True, slots=True)
class StatementResult:
    """What a writing statement did, to be met again when it is replayed."""

    count: int
    rows: tuple[tuple[SqlValue, ...], ...]


@dataclass(slots=True, eq=False)
class Transaction:
    """A transaction between its first statement and its end.

    Attributes:
        is_explicit: Whether BEGIN opened it; else the next Sync ends it.
        is_read_only: Whether it was opened READ ONLY.
        is_failed: Whether a statement failed, so that only ROLLBACK is accepted.
        is_terminated: Whether the upstream rolled it back for a higher term.
        is_writing: Whether it has written.
        time_us: Wall time of the first write, in microseconds.
        statements: Writing statements so far.
        results: What each of them did.
        claims: Values that no other transaction may write meanwhile.
    """

    is_explicit: bool
    is_read_only: bool = False
    is_failed: bool = False
    is_terminated: bool = False
    is_writing: bool = False
    time_us: int = 0
    statements: list[LoggedStatement] = field(default_factory=list)
    results: list[StatementResult] = field(default_factory=list)
    claims: set[str] = field(default_factory=set)
