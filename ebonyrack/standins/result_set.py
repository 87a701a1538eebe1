"""What a statement answers."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from ebonyrack.standins.log import SqlValue
from ebonyrack.standins.schema import Column


@dataclass(slots=True)
class ResultSet:
    """What a statement answers.

    Attributes:
        columns: Result columns; empty when it returns no rows.
        rows: Result rows.
        count: Rows changed or returned.
    """

    columns: list[Column] = field(default_factory=list)
    rows: list[tuple[SqlValue, ...]] = field(default_factory=list)
    count: int = 0
