"""Snapshots of a stand-in's database, from which it can be restored."""

from __future__ import annotations

import sqlite3
from dataclasses import dataclass

KEPT_SNAPSHOTS = 3


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A copy of the database after the log entry at an offset."""

    offset: int
    content: sqlite3.Connection


class Snapshots:
    """The latest snapshots of a database and the initial one.

    Attributes:
        engine: The database.
        kept: The snapshots in order of offset, beginning with the initial one.
    """

    __slots__ = ("engine", "kept")

    def __init__(self, engine: sqlite3.Connection) -> None:
        self.engine = engine
        self.kept = [Snapshot(0, copy_database(engine))]

    def take(self, offset: int) -> None:
        """Take a snapshot of the current state at a log offset."""
        self.kept.append(Snapshot(offset, copy_database(self.engine)))
        del self.kept[1:-KEPT_SNAPSHOTS]

    def restore(self, offset: int) -> int:
        """Restore the latest snapshot that isn't after a log offset.

        Later snapshots are removed.

        Args:
            offset: The offset.

        Returns:
            Offset of the restored snapshot.
        """
        while self.kept and self.kept[-1].offset > offset:
            self.kept.pop()
        snapshot = self.kept[-1]
        snapshot.content.backup(self.engine)
        return snapshot.offset


def copy_database(source: sqlite3.Connection) -> sqlite3.Connection:
    """Copy a database into a new in-memory database."""
    copy = sqlite3.connect(":memory:", isolation_level=None)
    source.backup(copy)
    return copy
