"""Tells from logs what became of a request, and what its proxies believed then."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import datetime
from datetime import timedelta
from pathlib import Path
from typing import Any

from ebonyrack.ops.base_file import read_text
from ebonyrack.ops.exit_status import CommandError
from ebonyrack.ops.exit_status import ExitStatus
from ebonyrack.ops.output import Output

# Fields that stand at the start of a printed line, or say nothing of the request.
FRAME_FIELDS = frozenset({"time", "level", "event", "module", "proxy"})


@dataclass(frozen=True, slots=True)
class TimelineQuery:
    """What is asked for.

    Attributes:
        request: Id of the request.
        logs: Files with the logs of proxies.
        before_s: Seconds before the request's first line from which beliefs are told.
        after_s: Seconds after its last line up to which they are.
    """

    request: str
    logs: tuple[Path, ...]
    before_s: float
    after_s: float


def show_timeline(question: TimelineQuery, output: Output) -> ExitStatus:
    """Print the lines on a request and the beliefs of its proxies around it.

    Args:
        question: The request and where to look.
        output: Prints the lines in order of time.

    Returns:
        REFUSED if no line names the request.

    Raises:
        CommandError: If a log can't be read.
    """
    lines = [line for path in question.logs for line in read_lines(path)]
    own = [line for line in lines if line.get("request") == question.request]
    if not own:
        output.note(
            f"no line names {question.request}: served requests are sampled, and lines "
            "beyond 100 failures a second are left out"
        )
        return ExitStatus.REFUSED
    story = sorted(own + find_beliefs(lines, own, question), key=read_time)
    output.show(story, "\n".join(render_line(line) for line in story))
    return ExitStatus.OK


def read_lines(path: Path) -> Iterator[dict[str, Any]]:
    """Yield the JSON lines of a log; whatever stands before the brace is dropped."""
    for text in read_text(path).splitlines():
        start = text.find("{")
        try:
            line = json.loads(text[start:]) if start >= 0 else None
        except ValueError:
            # Tracebacks of a process that broke stand between the lines.
            continue
        if isinstance(line, dict) and "time" in line and "event" in line:
            yield line


def find_beliefs(
    lines: list[dict[str, Any]], own: list[dict[str, Any]], question: TimelineQuery
) -> list[dict[str, Any]]:
    """Return the lines that change what the request's proxies believed around it.

    These are the lines without a request's id, on its groups or on none.
    """
    times = [read_time(line) for line in own]
    first = min(times) - timedelta(seconds=question.before_s)
    last = max(times) + timedelta(seconds=question.after_s)
    proxies = {line.get("proxy") for line in own}
    groups = {line["group"] for line in own if "group" in line}
    return [
        line
        for line in lines
        if "request" not in line
        and line.get("proxy") in proxies
        and line.get("group") in groups | {None}
        and first <= read_time(line) <= last
    ]


def read_time(line: dict[str, Any]) -> datetime:
    """Return the time of a line.

    Raises:
        CommandError: If it names none that can be read.
    """
    try:
        return datetime.fromisoformat(line["time"])
    except (TypeError, ValueError):
        text = f"a line of the log has no time: {str(line)[:80]}"
        raise CommandError(ExitStatus.USAGE, text) from None


def render_line(line: dict[str, Any]) -> str:
    """Return a line as text: time, proxy, event, then its fields."""
    fields = [
        f"{name}={value}" for name, value in line.items() if name not in FRAME_FIELDS
    ]
    time = read_time(line).strftime("%H:%M:%S.%f")[:-3]
    return " ".join([time, str(line.get("proxy", "-")), line["event"], *fields])
