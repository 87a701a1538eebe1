"""Lines of the proxies' logs, by the event that they tell of."""

from __future__ import annotations

import json
from collections.abc import Collection
from collections.abc import Iterator
from datetime import datetime
from pathlib import Path
from typing import Any


def read_events(
    logs: tuple[Path, ...], events: Collection[str]
) -> Iterator[dict[str, Any]]:
    """Yield the lines that tell of some events, log by log.

    Args:
        logs: Log files of the proxies.
        events: Names of the events.
    """
    # A file also holds lines that are no JSON, such as those of a traceback.
    marks = [f'"event": "{event}"' for event in events]
    for path in logs:
        for text in path.read_text(encoding="utf-8").splitlines():
            if any(mark in text for mark in marks):
                yield json.loads(text)


def read_wall_s(line: dict[str, Any]) -> float:
    """Return the wall-clock time of a line, in seconds."""
    return datetime.fromisoformat(line["time"]).timestamp()
