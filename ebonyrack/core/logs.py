"""JSON-line logs, with sampled lines on decisions and bounded lines on failures."""

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
# Lines on failed requests a second; further ones are only counted, as all requests may
# fail at once.
MAXIMUM_FAILURES_PER_S = 100
# Time that the process waits for its last lines to be written at exit, in seconds.
EXIT_FLUSH_LIMIT_S = 0.5


class LogOptions(Protocol):
    """Options of the log."""

    @property
    def level(self) -> str:
        """Lowest level that is written."""

    @property
    def decision_sampling(self) -> float:
        """Share of the decisions on requests that is written, 0 to 1."""


class FailureLogLimit:
    """Limits the rate of lines on failures.

    Attributes:
        second: The second that is counted.
        count: Failures in that second.
        omitted: Lines omitted since the last one written.
    """

    __slots__ = ("second", "count", "omitted")

    def __init__(self) -> None:
        self.second = 0
        self.count = 0
        self.omitted = 0

    def allow(self) -> bool:
        """Count a failure and return whether its line may be written."""
        second = int(time.monotonic())
        if second != self.second:
            self.second, self.count = second, 0
        self.count += 1
        if self.count > MAXIMUM_FAILURES_PER_S:
            self.omitted += 1
            return False
        return True


failure_log_limit = FailureLogLimit()


def start_logging(settings: LogOptions, proxy_name: str) -> None:
    """Send log records to standard output, one JSON object a line.

    Args:
        settings: Level and sampling of decision lines.
        proxy_name: Name of this process, which every line contains.
    """
    global decision_sampling, writer
    decision_sampling = settings.decision_sampling
    if writer is None:
        writer = build_standard_writer()
        writer.start()
        atexit.register(writer.stop, EXIT_FLUSH_LIMIT_S)
    logger.remove()
    logger.configure(extra={"proxy": proxy_name})
    # Tracebacks must not show the values of variables, which may be callers' keys.
    logger.add(
        write_json_line,
        level=settings.level.upper(),
        format="{message}",
        diagnose=False,
    )


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

    Only a share of these lines is written, as set by `decision_sampling`.

    Args:
        event: Name of the decision, such as `read_placed`.
        **fields: Reason, group, upstream, term, positions and waiting time.
    """
    if decision_sampling < 1.0 and random.random() >= decision_sampling:
        return
    logger.bind(**fields).info(event)


def log_failure(event: str, **fields: object) -> None:
    """Log a request that failed, at a limited rate.

    Args:
        event: Name of the event, such as `request_failed`.
        **fields: Request id, error kind and reason.
    """
    if not failure_log_limit.allow():
        return
    omitted, failure_log_limit.omitted = failure_log_limit.omitted, 0
    if omitted:
        fields["omitted_before"] = omitted
    logger.bind(**fields).warning(event)
