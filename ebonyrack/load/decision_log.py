"""Reads events from the proxies' log files."""

from __future__ import annotations

import json
from collections.abc import Collection
from collections.abc import Iterator
from datetime import datetime
from pathlib import Path
from typing import Any

from ebonyrack.core.text_file import read_text
from ebonyrack.core.text_file import split_lines


def read_events(
    logs: tuple[Path, ...], events: Collection[str]
) -> Iterator[dict[str, Any]]:
    """Yield the log lines of some events, one file after another.

    Args:
        logs: Log files of the proxies.
        events: Names of the events.
    """
    # A file may also contain lines that are not JSON, such as those of a traceback.
    patterns = [f'"event": "{event}"' for event in events]
    for path in logs:
        for text in split_lines(read_text(path)):
            if any(pattern in text for pattern in patterns):
                yield json.loads(text)


def read_wall_s(line: dict[str, Any]) -> float:
    """Return the wall-clock time of a log line, in seconds since the epoch."""
    return datetime.fromisoformat(line["time"]).timestamp()
