"""Kinds of statements and what is known about one."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class StatementKind(StrEnum):
    """How a statement is treated."""

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
    """What is known about a statement text.

    Attributes:
        kind: How it is treated.
        variable: Variable of SET and SHOW in lower case. For DISCARD one of `all`,
            `plans`, `sequences`, `temp`, `variables` (RESET ALL), `statements`
            (DEALLOCATE ALL), `statement` (DEALLOCATE of the name in `value`) or
            `session` (the several statements by which a driver's pool resets it).
        value: Value of SET; empty for RESET and SET TO DEFAULT.
        reason: Why the statement is not supported.
        read_only: Whether BEGIN asks for a read-only transaction.
        is_literal_free: Whether texts that differ only in literals are treated alike.
    """

    kind: StatementKind
    variable: str = ""
    value: str = ""
    reason: str = ""
    read_only: bool = False
    is_literal_free: bool = False


READ = Statement(StatementKind.READ, is_literal_free=True)
WRITE = Statement(StatementKind.WRITE, is_literal_free=True)
UNSURE = Statement(StatementKind.WRITE)
EMPTY = Statement(StatementKind.EMPTY)


def refuse(reason: str) -> Statement:
    """Build the entry of a statement that pooled connections can't serve."""
    return Statement(StatementKind.UNSUPPORTED, reason=reason)
