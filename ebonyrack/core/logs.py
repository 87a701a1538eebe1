"""JSON-line logs and the log line of each placement decision."""

from __future__ import annotations

import json
import random
import sys
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from loguru import Message

    from ebonyrack.core.settings import LogSettings

decision_sampling = 1.0


def start_logging(settings: LogSettings, proxy_name: str) -> None:
    """Send log records to standard error, one JSON object a line.

    Args:
        settings: Level and sampling of decision lines.
        proxy_name: Name of this process, in every line.
    """
    global decision_sampling
    decision_sampling = settings.decision_sampling
    logger.remove()
    logger.configure(extra={"proxy": proxy_name})
    logger.add(write_json_line, level=settings.level.upper(), format="{message}")


def write_json_line(message: Message) -> None:
    """Write one loguru record as a JSON line to standard error.

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
    sys.stderr.write(json.dumps(line, default=str) + "\n")


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
