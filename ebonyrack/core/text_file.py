"""Text files, whose lines end at LF or CR LF and nowhere else."""

from __future__ import annotations

import io
from pathlib import Path


def read_text(path: Path) -> str:
    """Return the text of a UTF-8 file with LF as the end of each line.

    A lone carriage return stays as it is.

    Args:
        path: The file.

    Raises:
        OSError, UnicodeDecodeError: If it can't be read.
    """
    with path.open(encoding="utf-8", newline="") as file:
        return file.read().replace("\r\n", "\n")


def split_lines(text: str) -> list[str]:
    """Return the lines of a text without their ends.

    Unlike `str.splitlines`, this leaves lines with other separators whole, such as
    U+0085 and U+2028.

    Args:
        text: The text.
    """
    return [line.removesuffix("\n").removesuffix("\r") for line in list_lines(text)]


def list_lines(text: str) -> list[str]:
    """Return the lines of a text with their ends."""
    return io.StringIO(text).readlines()
