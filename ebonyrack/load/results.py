"""Writes and reads result files, and formats rows as a table."""

from __future__ import annotations

import json
import os
import platform
import sys
import time
from pathlib import Path
from typing import Any

from ebonyrack.core.text_file import read_text
from ebonyrack.core.text_file import split_lines

Row = dict[str, Any]


def write_results(directory: Path, name: str, rows: list[Row]) -> Path:
    """Write rows as JSON lines after a header on the environment and the command.

    Args:
        directory: Directory of the result files.
        name: Name of the measurement.
        rows: Rows of the measurement.

    Returns:
        Path of the file.
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
    """Read the header and the rows of a result file."""
    lines = split_lines(read_text(path))
    header, *rows = (json.loads(line) for line in lines)
    return header, rows


def format_rows(rows: list[Row]) -> str:
    """Format rows as a Markdown table, omitting fields that hold mappings.

    Args:
        rows: Rows with the same fields.
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
    """Format one value of a table."""
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:.4g}"
    return str(value)
