"""What one attempt of a request told its caller."""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import StrEnum

import psycopg

DEFAULT_RETRY_S = 0.05
RAN = re.compile(r"\bran=(no|yes|unknown)\b")
RETRY = re.compile(r"\bretry=(yes|no)\b")
KIND = re.compile(r"\bkind=(\w+)\b")
AFTER = re.compile(r"\bafter_ms=(\d+)\b")
TRANSIENT_CLASSES = ("08", "53", "57", "40")
READ_ONLY = "25006"


class Verdict(StrEnum):
    """What a caller knows about its request after an error.

    `REFUSED` means that it did not run and may be repeated, `UNKNOWN` that it may
    have run, `RAN` that it ran, `FINAL` that it did not run and never will.
    """

    REFUSED = "refused"
    UNKNOWN = "unknown"
    RAN = "ran"
    FINAL = "final"


@dataclass(frozen=True, slots=True)
class Failure:
    """An attempt that ended with an error.

    Attributes:
        verdict: What is known about the request.
        retry_after_s: Time after which to repeat, in seconds.
        sqlstate: SQLSTATE, or an empty string when the connection broke.
        text: The message.
        kind: Kind of the proxy's error, or an empty string.
    """

    verdict: Verdict
    retry_after_s: float
    sqlstate: str
    text: str
    kind: str = ""


def classify_error(error: Exception, is_sent: bool) -> Failure:
    """Read a proxy's refusal, or judge a broken connection.

    Args:
        error: What the driver raised.
        is_sent: Whether the request may have left the caller.

    Returns:
        What the caller knows now.
    """
    sqlstate, detail, hint = "", "", ""
    if isinstance(error, psycopg.Error):
        sqlstate = error.sqlstate or ""
        detail = error.diag.message_detail or ""
        hint = error.diag.message_hint or ""
    ran = RAN.search(detail)
    kind = KIND.search(detail)
    after = AFTER.search(hint)
    retry_after_s = int(after.group(1)) / 1000 if after else DEFAULT_RETRY_S
    if ran is None:
        verdict = judge_without_detail(sqlstate, is_sent)
    elif ran.group(1) == "yes":
        verdict = Verdict.RAN
    elif ran.group(1) == "unknown":
        verdict = Verdict.UNKNOWN
    else:
        retry = RETRY.search(hint)
        may_retry = retry is None or retry.group(1) == "yes"
        verdict = Verdict.REFUSED if may_retry else Verdict.FINAL
    return Failure(
        verdict, retry_after_s, sqlstate, str(error), kind.group(1) if kind else ""
    )


def judge_without_detail(sqlstate: str, is_sent: bool) -> Verdict:
    """Judge an error that doesn't say whether the request ran."""
    if not sqlstate:
        return Verdict.UNKNOWN if is_sent else Verdict.REFUSED
    if sqlstate[:2] in TRANSIENT_CLASSES:
        return Verdict.UNKNOWN if is_sent else Verdict.REFUSED
    return Verdict.REFUSED if sqlstate == READ_ONLY else Verdict.FINAL
