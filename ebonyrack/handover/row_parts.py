"""Splits the rows of an answer into parts that each fit one message."""

from __future__ import annotations

import itertools

# A row is at most 1 MiB, so that a part is at most half a MiB larger than one.
PART_BYTES = 512 * 1024
# Rows that are never fetched, because the asking proxy was lost, are dropped when this
# many other answers have been split.
MAXIMUM_KEPT = 64


class RowParts:
    """Keeps the rows that answers had no room for until they are fetched.

    Attributes:
        kept: Further rows by asking proxy and number.
        numbers: Source of numbers.
    """

    __slots__ = ("kept", "numbers")

    def __init__(self) -> None:
        self.kept: dict[tuple[str, int], list[bytes]] = {}
        self.numbers = itertools.count(1)

    def split(self, sender: str, rows: list[bytes]) -> tuple[list[bytes], int]:
        """Return the first rows, and a number for the others or 0.

        Args:
            sender: The proxy that asked.
            rows: All rows.
        """
        size = 0
        for index, row in enumerate(rows):
            size += len(row)
            if size > PART_BYTES and index > 0:
                break
        else:
            return rows, 0
        number = next(self.numbers)
        self.kept[sender, number] = rows[index:]
        while len(self.kept) > MAXIMUM_KEPT:
            del self.kept[next(iter(self.kept))]
        return rows[:index], number

    def fetch(self, sender: str, number: int) -> tuple[list[bytes], int] | None:
        """Return the next rows and the number of the rest; None if they are gone."""
        rows = self.kept.pop((sender, number), None)
        return self.split(sender, rows) if rows is not None else None
