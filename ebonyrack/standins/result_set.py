"""The result of a statement."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from ebonyrack.standins.log import SqlValue
from ebonyrack.standins.schema import Column


@dataclass(slots=True)
class ResultSet:
    """The result of a statement.

    Attributes:
        columns: Result columns; empty if the statement returns no rows.
        rows: Result rows.
        count: Number of rows changed or returned.
    """

    columns: list[Column] = field(default_factory=list)
    rows: list[tuple[SqlValue, ...]] = field(default_factory=list)
    count: int = 0
