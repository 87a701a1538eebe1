"""Classifies failed attempts by what the caller knows about the request."""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import StrEnum

import psycopg

DEFAULT_RETRY_AFTER_S = 0.05
RAN_PATTERN = re.compile(r"\bran=(no|yes|unknown)\b")
RETRY_PATTERN = re.compile(r"\bretry=(yes|no)\b")
KIND_PATTERN = re.compile(r"\bkind=(\w+)\b")
RETRY_AFTER_PATTERN = re.compile(r"\bafter_ms=(\d+)\b")
TRANSIENT_SQLSTATE_CLASSES = ("08", "53", "57", "40")
READ_ONLY_SQLSTATE = "25006"


class RequestOutcome(StrEnum):
    """What a caller knows about its request after an error.

    `REFUSED` means that it did not run and may be retried, `UNKNOWN` that it may have
    run, `RAN` that it ran, `REFUSED_FINALLY` that it did not run and a retry is of no
    use.
    """

    REFUSED = "refused"
    UNKNOWN = "unknown"
    RAN = "ran"
    REFUSED_FINALLY = "final"


@dataclass(frozen=True, slots=True)
class Failure:
    """An attempt that ended with an error.

    Attributes:
        outcome: What is known about the request.
        retry_after_s: Pause before the next attempt, in seconds.
        sqlstate: SQLSTATE, or an empty string if the connection was lost.
        message: Error message.
        kind: Kind of the proxy's error, or an empty string.
    """

    outcome: RequestOutcome
    retry_after_s: float
    sqlstate: str
    message: str
    kind: str = ""


def classify_error(error: Exception, is_sent: bool) -> Failure:
    """Classify an error reply of a proxy or a lost connection.

    Args:
        error: Exception raised by the driver.
        is_sent: Whether the request may have been sent.

    Returns:
        The classified failure.
    """
    sqlstate, detail, hint = "", "", ""
    if isinstance(error, psycopg.Error):
        sqlstate = error.sqlstate or ""
        detail = error.diag.message_detail or ""
        hint = error.diag.message_hint or ""
    ran = RAN_PATTERN.search(detail)
    kind = KIND_PATTERN.search(detail)
    after = RETRY_AFTER_PATTERN.search(hint)
    retry_after_s = int(after.group(1)) / 1000 if after else DEFAULT_RETRY_AFTER_S
    if ran is None:
        outcome = classify_by_sqlstate(sqlstate, is_sent)
    elif ran.group(1) == "yes":
        outcome = RequestOutcome.RAN
    elif ran.group(1) == "unknown":
        outcome = RequestOutcome.UNKNOWN
    else:
        retry = RETRY_PATTERN.search(hint)
        may_retry = retry is None or retry.group(1) == "yes"
        outcome = (
            RequestOutcome.REFUSED if may_retry else RequestOutcome.REFUSED_FINALLY
        )
    return Failure(
        outcome, retry_after_s, sqlstate, str(error), kind.group(1) if kind else ""
    )


def classify_by_sqlstate(sqlstate: str, is_sent: bool) -> RequestOutcome:
    """Classify an error whose detail doesn't say whether the request ran."""
    if not sqlstate:
        return RequestOutcome.UNKNOWN if is_sent else RequestOutcome.REFUSED
    if sqlstate[:2] in TRANSIENT_SQLSTATE_CLASSES:
        return RequestOutcome.UNKNOWN if is_sent else RequestOutcome.REFUSED
    return (
        RequestOutcome.REFUSED
        if sqlstate == READ_ONLY_SQLSTATE
        else RequestOutcome.REFUSED_FINALLY
    )
