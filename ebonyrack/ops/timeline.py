"""Extracts the log lines of a request and of its proxies' state around it."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import datetime
from datetime import timedelta
from pathlib import Path
from typing import Any

from ebonyrack.core.text_file import split_lines
from ebonyrack.ops.base_file import read_text
from ebonyrack.ops.exit_status import CommandError
from ebonyrack.ops.exit_status import ExitStatus
from ebonyrack.ops.output import Output

# Fields printed at the start of a line, or omitted as unrelated to the request.
HEADER_FIELDS = frozenset({"time", "level", "event", "module", "proxy"})


@dataclass(frozen=True, slots=True)
class TimelineQuery:
    """The request to search for and where to search.

    Attributes:
        request: ID of the request.
        logs: Log files of proxies.
        before_s: Seconds before the request's first line from which context is shown.
        after_s: Seconds after its last line up to which context is shown.
    """

    request: str
    logs: tuple[Path, ...]
    before_s: float
    after_s: float


def show_timeline(query: TimelineQuery, output: Output) -> ExitStatus:
    """Print the log lines of a request and of its proxies' state around it.

    Args:
        query: The request and the logs to search.
        output: Prints the lines in chronological order.

    Returns:
        REFUSED if no log line contains the request ID.

    Raises:
        CommandError: If a log can't be read.
    """
    lines = [line for path in query.logs for line in read_lines(path)]
    request_lines = [line for line in lines if line.get("request") == query.request]
    if not request_lines:
        output.print_note(
            f"no log line for request {query.request}: successful requests are "
            "sampled, and failures beyond 100 per second are not logged"
        )
        return ExitStatus.REFUSED
    timeline = sorted(
        request_lines + find_context_lines(lines, request_lines, query), key=read_time
    )
    output.print_result(timeline, "\n".join(render_line(line) for line in timeline))
    return ExitStatus.OK


def read_lines(path: Path) -> Iterator[dict[str, Any]]:
    """Yield the JSON objects of a log; text before the opening brace is skipped."""
    for text in split_lines(read_text(path)):
        start = text.find("{")
        try:
            line = json.loads(text[start:]) if start >= 0 else None
        except ValueError:
            # Tracebacks of a crashed process appear between the lines.
            continue
        if isinstance(line, dict) and "time" in line and "event" in line:
            yield line


def find_context_lines(
    lines: list[dict[str, Any]],
    request_lines: list[dict[str, Any]],
    query: TimelineQuery,
) -> list[dict[str, Any]]:
    """Return the lines on the state of the request's proxies around its time.

    These are the lines without a request ID that concern its groups or no group.
    """
    times = [read_time(line) for line in request_lines]
    first = min(times) - timedelta(seconds=query.before_s)
    last = max(times) + timedelta(seconds=query.after_s)
    proxies = {line.get("proxy") for line in request_lines}
    groups = {line["group"] for line in request_lines if "group" in line}
    return [
        line
        for line in lines
        if "request" not in line
        and line.get("proxy") in proxies
        and line.get("group") in groups | {None}
        and first <= read_time(line) <= last
    ]


def read_time(line: dict[str, Any]) -> datetime:
    """Return the time of a log line.

    Raises:
        CommandError: If it has no valid time.
    """
    try:
        return datetime.fromisoformat(line["time"])
    except (TypeError, ValueError):
        text = f"log line without a valid time: {str(line)[:80]}"
        raise CommandError(ExitStatus.USAGE, text) from None


def render_line(line: dict[str, Any]) -> str:
    """Format a log line as text: time, proxy, event, then its other fields."""
    fields = [
        f"{name}={value}" for name, value in line.items() if name not in HEADER_FIELDS
    ]
    time = read_time(line).strftime("%H:%M:%S.%f")[:-3]
    return " ".join([time, str(line.get("proxy", "-")), line["event"], *fields])
