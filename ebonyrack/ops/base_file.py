"""The copy of the document that an operator's file started from."""

from __future__ import annotations

import re
from pathlib import Path

from ebonyrack.config.stored import StoredDocument
from ebonyrack.ops.exit_status import CommandError
from ebonyrack.ops.exit_status import ExitStatus

FIRST_LINE = "# ebonyrack document, revision {revision}\n"
FIRST_LINE_PATTERN = re.compile(r"# ebonyrack document, revision (\d+)\n")


def find_base_path(path: Path) -> Path:
    """Return where the base of a file is kept."""
    return path.with_name(f"{path.name}.base")


def read_text(path: Path) -> str:
    """Read a text file.

    Raises:
        CommandError: If it can't be read.
    """
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise CommandError(ExitStatus.USAGE, f"{path}: {error}") from error


def write_files(path: Path, document: StoredDocument) -> None:
    """Write a document to edit, and its base beside it."""
    first_line = FIRST_LINE.format(revision=document.revision)
    try:
        path.write_text(document.text, encoding="utf-8")
        find_base_path(path).write_text(first_line + document.text, encoding="utf-8")
    except OSError as error:
        raise CommandError(ExitStatus.USAGE, f"{path}: {error}") from error


def read_base(path: Path) -> StoredDocument | None:
    """Read the base that was written beside a file, None if there is none."""
    base_path = find_base_path(path)
    if not base_path.exists():
        return None
    text = read_text(base_path)
    match = FIRST_LINE_PATTERN.match(text)
    if match is None:
        raise CommandError(ExitStatus.USAGE, f"{base_path}: not a base file")
    return StoredDocument(int(match[1]), text[match.end() :], ())
