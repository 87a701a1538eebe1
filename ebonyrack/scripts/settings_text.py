"""Reads a daemon's settings file and prints the errors in it."""

from __future__ import annotations

import sys
from collections.abc import Iterable
from pathlib import Path

from ebonyrack.core.config_error import ConfigError
from ebonyrack.core.text_file import read_text


def read_settings_text(path: Path) -> str | None:
    """Return the text of a file, or None if it can't be read.

    The reason is printed to standard error.

    Args:
        path: The file.
    """
    try:
        return read_text(path)
    except (OSError, UnicodeDecodeError) as error:
        print(f"{path}: cannot be read: {error}", file=sys.stderr)
        return None


def print_config_errors(errors: Iterable[ConfigError]) -> None:
    """Print every error in the settings to standard error.

    Args:
        errors: The errors.
    """
    for error in errors:
        print(error, file=sys.stderr)
