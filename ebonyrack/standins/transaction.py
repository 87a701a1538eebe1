"""Transactions of a stand-in upstream's sessions."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from ebonyrack.standins.log import LoggedStatement
from ebonyrack.standins.log import SqlValue


@dataclass(frozen=True, slots=True)
class StatementResult:
    """Result of a write statement, to compare with the result of its replay."""

    count: int
    rows: tuple[tuple[SqlValue, ...], ...]


@dataclass(slots=True, eq=False)
class Transaction:
    """An open transaction.

    Attributes:
        is_explicit: Whether it was begun by BEGIN; otherwise it ends with the query or
            at the next Sync.
        is_read_only: Whether it was begun READ ONLY.
        is_failed: Whether a statement failed, so that only ROLLBACK is accepted.
        is_terminated: Whether the upstream rolled it back because of a higher term.
        is_writing: Whether it has begun to write.
        time_us: Unix time of the first write, in microseconds.
        statements: Write statements so far.
        results: Result of each write statement.
        lock_keys: Lock keys that it holds.
    """

    is_explicit: bool
    is_read_only: bool = False
    is_failed: bool = False
    is_terminated: bool = False
    is_writing: bool = False
    time_us: int = 0
    statements: list[LoggedStatement] = field(default_factory=list)
    results: list[StatementResult] = field(default_factory=list)
    lock_keys: set[str] = field(default_factory=set)
