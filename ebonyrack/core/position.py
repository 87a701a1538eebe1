"""Log positions of a database group."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class LogPosition:
    """A position in the log of a database group.

    Positions are ordered by term, then by offset. An upstream whose last entry is at or
    after a position that a majority holds contains that position's entry, since a
    promotion keeps every entry that a majority holds.

    Attributes:
        term: Term of the primary that wrote the entry.
        offset: Number of the entry in the log, counted from 1; 0 for an empty log.
    """

    term: int
    offset: int

    def __str__(self) -> str:
        return f"{self.term}/{self.offset}"


LOG_START = LogPosition(0, 0)


def parse_position(text: str) -> LogPosition:
    """Parse a position from its `term/offset` form.

    Args:
        text: Two decimal numbers with a slash between.

    Returns:
        The position.

    Raises:
        ValueError: If the text has another form.
    """
    term, slash, offset = text.partition("/")
    if not (slash and term.isascii() and offset.isascii()):
        raise ValueError(f"not a log position: {text!r}")
    if not (term.isdecimal() and offset.isdecimal()):
        raise ValueError(f"not a log position: {text!r}")
    return LogPosition(int(term), int(offset))
