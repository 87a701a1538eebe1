"""Plain-text tables."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence

COLUMN_SEPARATOR = "  "


def format_table(titles: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Format rows as aligned columns.

    Args:
        titles: Titles of the columns.
        rows: Cells of each row.

    Returns:
        The text of the table, or `(none)` if there are no rows.
    """
    lines = [list(titles)]
    lines.extend([str(cell) for cell in row] for row in rows)
    if len(lines) == 1:
        return "(none)"
    widths = [max(len(line[column]) for line in lines) for column in range(len(titles))]
    return "\n".join(
        COLUMN_SEPARATOR.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )
