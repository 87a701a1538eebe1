"""Editing of a text in the operator's editor."""

from __future__ import annotations

import os
import shlex
import subprocess
import tempfile
from pathlib import Path

from ebonyrack.ops.base_file import read_text
from ebonyrack.ops.exit_status import CommandError
from ebonyrack.ops.exit_status import ExitStatus

DEFAULT_EDITOR = "vi"


def run_editor(text: str) -> str:
    """Open a text in `$EDITOR` and return the edited text."""
    editor = shlex.split(os.environ.get("EDITOR", "")) or [DEFAULT_EDITOR]
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "document.ini"
        path.write_text(text, encoding="utf-8")
        completed = subprocess.run([*editor, str(path)], check=False)
        if completed.returncode != 0:
            raise CommandError(ExitStatus.USAGE, f"editor {editor[0]} failed")
        return read_text(path)


def save_text(text: str) -> str:
    """Save a text that was not accepted; return the path of the file."""
    with tempfile.NamedTemporaryFile(
        "w", suffix=".ini", delete=False, encoding="utf-8"
    ) as file:
        file.write(text)
        return file.name
