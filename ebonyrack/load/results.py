"""Result files: JSON lines and a table for people."""

from __future__ import annotations

import json
import os
import platform
import sys
import time
from pathlib import Path
from typing import Any

Row = dict[str, Any]


def write_results(directory: Path, name: str, rows: list[Row]) -> Path:
    """Write the rows of a run as JSON lines, with the machine and the command.

    Args:
        directory: Directory of all results.
        name: Name of the measurement.
        rows: Its rows.

    Returns:
        The file.
    """
    directory.mkdir(parents=True, exist_ok=True)
    path = directory / f"{name}.jsonl"
    header = {
        "measured_at": time.strftime("%Y-%m-%dT%H:%M:%S%z"),
        "python": platform.python_version(),
        "processors": os.cpu_count(),
        "command": " ".join(sys.argv[1:]),
    }
    lines = [json.dumps(line, default=str) for line in (header, *rows)]
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")
    return path


def read_results(path: Path) -> tuple[Row, list[Row]]:
    """Read a result file back: its header and its rows."""
    lines = path.read_text(encoding="utf-8").splitlines()
    header, *rows = (json.loads(line) for line in lines)
    return header, rows


def format_rows(rows: list[Row]) -> str:
    """Lay rows out as a Markdown table, without series.

    Args:
        rows: Rows with the same names.
    """
    if not rows:
        return "(no rows)"
    names = [name for name, value in rows[0].items() if not isinstance(value, dict)]
    cells = [names, *([format_cell(row.get(name)) for name in names] for row in rows)]
    widths = [max(len(line[index]) for line in cells) for index in range(len(names))]
    lines = [
        " | ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        for line in cells
    ]
    rule = "|" + "|".join("-" * (width + 2) for width in widths) + "|"
    framed = [f"| {line} |" for line in lines]
    return "\n".join([framed[0], rule, *framed[1:]])


def format_cell(value: Any) -> str:
    """Write one value of a table."""
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:.4g}"
    return str(value)
