"""Kinds of statements and the result of classifying one."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class StatementKind(StrEnum):
    """Kind of a statement, which decides how it is served."""

    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    SET_VARIABLE = "set_variable"
    SHOW_VARIABLE = "show_variable"
    DISCARD = "discard"
    EMPTY = "empty"
    UNSUPPORTED = "unsupported"


@dataclass(frozen=True, slots=True)
class Statement:
    """Classification of a statement text.

    Attributes:
        kind: Kind of the statement.
        variable: Variable of SET and SHOW in lower case. For DISCARD one of `all`,
            `plans`, `sequences`, `temp`, `variables` (RESET ALL), `statements`
            (DEALLOCATE ALL), `statement` (DEALLOCATE of the name in `value`) or
            `session` (several statements with which a driver's pool resets a session).
        value: Value of SET; empty for RESET and SET TO DEFAULT.
        reason: Why the statement is not supported.
        read_only: Whether BEGIN requests a read-only transaction.
        is_shared: Whether it applies to all texts with the same fingerprint, which
            differ only in literals.
    """

    kind: StatementKind
    variable: str = ""
    value: str = ""
    reason: str = ""
    read_only: bool = False
    is_shared: bool = False


READ = Statement(StatementKind.READ, is_shared=True)
WRITE = Statement(StatementKind.WRITE, is_shared=True)
UNSHARED_WRITE = Statement(StatementKind.WRITE)
EMPTY = Statement(StatementKind.EMPTY)


def build_unsupported(reason: str) -> Statement:
    """Build the classification of a statement unsupported on pooled connections."""
    return Statement(StatementKind.UNSUPPORTED, reason=reason)
