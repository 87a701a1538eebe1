"""Committed states of a stand-in's database that can be gone back to."""

from __future__ import annotations

import sqlite3
from dataclasses import dataclass

KEPT_SNAPSHOTS = 3


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The committed state after the entry of an offset."""

    offset: int
    content: sqlite3.Connection


class Snapshots:
    """The last few states of a database, and its first one.

    Attributes:
        engine: The database.
        kept: The states, the first one first.
    """

    __slots__ = ("engine", "kept")

    def __init__(self, engine: sqlite3.Connection) -> None:
        self.engine = engine
        self.kept = [Snapshot(0, copy_database(engine))]

    def take(self, offset: int) -> None:
        """Keep the present state as that of an offset of the log."""
        self.kept.append(Snapshot(offset, copy_database(self.engine)))
        del self.kept[1:-KEPT_SNAPSHOTS]

    def restore(self, offset: int) -> int:
        """Go back to a state that isn't after an offset of the log.

        Args:
            offset: The offset.

        Returns:
            Offset of the state restored.
        """
        while self.kept and self.kept[-1].offset > offset:
            self.kept.pop()
        snapshot = self.kept[-1]
        snapshot.content.backup(self.engine)
        return snapshot.offset


def copy_database(source: sqlite3.Connection) -> sqlite3.Connection:
    """Copy a database into a new one in memory."""
    copy = sqlite3.connect(":memory:", isolation_level=None)
    source.backup(copy)
    return copy
