"""JSON-line logs and the log line of each placement decision."""

from __future__ import annotations

import atexit
import json
import random
import time
from typing import TYPE_CHECKING
from typing import Protocol

from loguru import logger

from ebonyrack.core.log_writer import LogWriter
from ebonyrack.core.log_writer import build_standard_writer

if TYPE_CHECKING:
    from loguru import Message

decision_sampling = 1.0
writer: LogWriter | None = None
# Lines on failed requests each second; the rest is counted, as all may fail at once.
MAXIMUM_FAILURES_PER_S = 100
# How long the end of the process waits for the last lines, in seconds.
LAST_LINES_S = 0.5


class LogOptions(Protocol):
    """What is logged."""

    @property
    def level(self) -> str:
        """Lowest level that is written."""

    @property
    def decision_sampling(self) -> float:
        """Share of the decisions on requests that is written, 0 to 1."""


class FailureBudget:
    """Bounds the lines on failures in each second.

    Attributes:
        second: The second that is counted.
        count: Lines in it.
        omitted: Lines left out since the last one written.
    """

    __slots__ = ("second", "count", "omitted")

    def __init__(self) -> None:
        self.second = 0
        self.count = 0
        self.omitted = 0

    def take(self) -> bool:
        """Return whether one more line may be written now."""
        second = int(time.monotonic())
        if second != self.second:
            self.second, self.count = second, 0
        self.count += 1
        if self.count > MAXIMUM_FAILURES_PER_S:
            self.omitted += 1
            return False
        return True


failure_budget = FailureBudget()


def start_logging(settings: LogOptions, proxy_name: str) -> None:
    """Send log records to standard output, one JSON object a line.

    Args:
        settings: Level and sampling of decision lines.
        proxy_name: Name of this process, in every line.
    """
    global decision_sampling, writer
    decision_sampling = settings.decision_sampling
    if writer is None:
        writer = build_standard_writer()
        writer.start()
        atexit.register(writer.stop, LAST_LINES_S)
    logger.remove()
    logger.configure(extra={"proxy": proxy_name})
    logger.add(write_json_line, level=settings.level.upper(), format="{message}")


def write_json_line(message: Message) -> None:
    """Queue one loguru record as a JSON line.

    Args:
        message: The formatted message with its record.
    """
    record = message.record
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name.lower(),
        "event": record["message"],
        "module": record["name"],
        **record["extra"],
    }
    if record["exception"] is not None:
        line["exception"] = str(message)
    if writer is not None:
        writer.put(json.dumps(line, default=str))


def log_decision(event: str, **fields: object) -> None:
    """Log a routing or placement decision.

    The share of lines that is written is set by `decision_sampling`.

    Args:
        event: Name of the decision, such as `read_placed`.
        **fields: Reason, group, upstream, term, positions and waiting time.
    """
    if decision_sampling < 1.0 and random.random() >= decision_sampling:
        return
    logger.bind(**fields).info(event)


def log_failure(event: str, **fields: object) -> None:
    """Log a request that failed; the lines of each second are bounded.

    Args:
        event: Name of the event, such as `request_failed`.
        **fields: Request id, error kind and what decided it.
    """
    if not failure_budget.take():
        return
    omitted, failure_budget.omitted = failure_budget.omitted, 0
    if omitted:
        fields["omitted_before"] = omitted
    logger.bind(**fields).warning(event)
