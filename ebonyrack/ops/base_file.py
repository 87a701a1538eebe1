"""Base copies of document files, against which operators' changes are found."""

from __future__ import annotations

import re
from pathlib import Path

from ebonyrack.config.stored import StoredDocument
from ebonyrack.core import text_file
from ebonyrack.ops.exit_status import CommandError
from ebonyrack.ops.exit_status import ExitStatus

HEADER = "# ebonyrack document, revision {revision}\n"
HEADER_PATTERN = re.compile(r"# ebonyrack document, revision (\d+)\n")


def build_base_path(path: Path) -> Path:
    """Return the path of the base copy of a file."""
    return path.with_name(f"{path.name}.base")


def read_text(path: Path) -> str:
    """Read a text file.

    Raises:
        CommandError: If the file can't be read.
    """
    try:
        return text_file.read_text(path)
    except (OSError, UnicodeDecodeError) as error:
        raise CommandError(ExitStatus.USAGE, f"{path}: {error}") from error


def write_document(path: Path, document: StoredDocument) -> None:
    """Write a document to a file for editing, and its base copy next to it."""
    header = HEADER.format(revision=document.revision)
    try:
        path.write_text(document.text, encoding="utf-8")
        build_base_path(path).write_text(header + document.text, encoding="utf-8")
    except OSError as error:
        raise CommandError(ExitStatus.USAGE, f"{path}: {error}") from error


def read_base(path: Path) -> StoredDocument | None:
    """Read the base copy of a file; None if there is none."""
    base_path = build_base_path(path)
    if not base_path.exists():
        return None
    text = read_text(base_path)
    match = HEADER_PATTERN.match(text)
    if match is None:
        raise CommandError(
            ExitStatus.USAGE, f"{base_path}: not a base copy of a document"
        )
    return StoredDocument(int(match[1]), text[match.end() :], ())
