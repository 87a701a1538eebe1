"""Reads the file with a daemon's settings."""

from __future__ import annotations

import sys
from collections.abc import Iterable
from pathlib import Path

from ebonyrack.core.config_error import ConfigError


def read_settings_text(path: Path) -> str | None:
    """Return the text of a file; print to standard error why there is none.

    Args:
        path: The file.
    """
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        print(f"{path}: cannot be read: {error}", file=sys.stderr)
        return None


def print_config_errors(faults: Iterable[ConfigError]) -> None:
    """Print every fault of the settings to standard error.

    Args:
        faults: The faults.
    """
    for fault in faults:
        print(fault, file=sys.stderr)
