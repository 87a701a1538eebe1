"""The kinds of errors that callers can get, and the answer for each."""

from __future__ import annotations

import random
from enum import StrEnum

from msgspec import Struct

# Bounds of the random retry-after of errors that don't depend on a queue.
SHORTEST_RETRY_S = 0.02
LONGEST_RETRY_S = 0.2


class ErrorKind(StrEnum):
    """Every reason for which a request can be answered with an error."""

    BAD_REQUEST = "bad_request"
    BAD_TOKEN = "bad_token"
    UNSUPPORTED = "unsupported"
    AUTHENTICATION_FAILED = "authentication_failed"
    NOT_ALLOWED = "not_allowed"
    UNKNOWN_GROUP = "unknown_group"
    UNKNOWN_ACCOUNT = "unknown_account"
    TOO_MANY_CALLERS = "too_many_callers"
    QUEUE_FULL = "queue_full"
    WAIT_TOO_LONG = "wait_too_long"
    RATE_LIMITED = "rate_limited"
    NO_PRIMARY = "no_primary"
    NO_UPSTREAM = "no_upstream"
    REPLICAS_LAG = "replicas_lag"
    POSITION_NOT_REACHED = "position_not_reached"
    UPSTREAM_LOST = "upstream_lost"
    ANSWER_CUT = "answer_cut"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ALREADY_RAN = "already_ran"
    IDLE_IN_TRANSACTION = "idle_in_transaction"
    TRANSACTION_FAILED = "transaction_failed"
    READ_ONLY_TRANSACTION = "read_only_transaction"
    UNKNOWN_STATEMENT = "unknown_statement"
    STATEMENT_FAILED = "statement_failed"
    STATEMENT_TIMED_OUT = "statement_timed_out"
    REQUEST_TOO_LARGE = "request_too_large"
    CANCELLED = "cancelled"
    SHUTTING_DOWN = "shutting_down"
    CUT_OFF = "cut_off"
    INTERNAL = "internal"


class Executed(StrEnum):
    """Whether a request took effect in the database group."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ErrorAnswer(Struct, frozen=True):
    """Answer to a caller for one kind of error.

    Attributes:
        sqlstate: Five-character code, from PostgreSQL's appendix A.
        ran: Whether the request took effect.
        retry: Whether the same request may succeed later.
        text: The message.
        fatal: Whether the caller's connection is closed after the answer.
    """

    sqlstate: str
    ran: Executed
    retry: bool
    text: str
    fatal: bool = False


ERROR_ANSWERS: dict[ErrorKind, ErrorAnswer] = {
    ErrorKind.BAD_REQUEST: ErrorAnswer(
        "08P01", Executed.NO, False, "the message is not valid", fatal=True
    ),
    ErrorKind.BAD_TOKEN: ErrorAnswer(
        "22023", Executed.NO, False, "the session token is not valid"
    ),
    ErrorKind.UNSUPPORTED: ErrorAnswer(
        "0A000",
        Executed.NO,
        False,
        "the request is not supported over pooled connections",
    ),
    ErrorKind.AUTHENTICATION_FAILED: ErrorAnswer(
        "28P01", Executed.NO, False, "authentication failed", fatal=True
    ),
    ErrorKind.NOT_ALLOWED: ErrorAnswer(
        "42501",
        Executed.NO,
        False,
        "the user may not use this database group",
        fatal=True,
    ),
    ErrorKind.UNKNOWN_GROUP: ErrorAnswer(
        "3D000", Executed.NO, False, "the database group is not configured", fatal=True
    ),
    ErrorKind.UNKNOWN_ACCOUNT: ErrorAnswer(
        "28000",
        Executed.NO,
        False,
        "no client account in force holds the caller's key",
        fatal=True,
    ),
    ErrorKind.TOO_MANY_CALLERS: ErrorAnswer(
        "53300", Executed.NO, True, "the proxy serves no more connections", fatal=True
    ),
    ErrorKind.QUEUE_FULL: ErrorAnswer(
        "53400", Executed.NO, True, "the queue of the database group is full"
    ),
    ErrorKind.WAIT_TOO_LONG: ErrorAnswer(
        "53400", Executed.NO, True, "no connection came free within the time allowed"
    ),
    ErrorKind.RATE_LIMITED: ErrorAnswer(
        "53400", Executed.NO, True, "the limit of the client account is used up"
    ),
    ErrorKind.NO_PRIMARY: ErrorAnswer(
        "57P03", Executed.NO, True, "the database group has no primary now"
    ),
    ErrorKind.NO_UPSTREAM: ErrorAnswer(
        "57P03", Executed.NO, True, "no upstream of the database group can serve"
    ),
    ErrorKind.REPLICAS_LAG: ErrorAnswer(
        "57P03", Executed.NO, True, "replicas are too far behind to confirm a write"
    ),
    ErrorKind.POSITION_NOT_REACHED: ErrorAnswer(
        "57P03", Executed.NO, True, "no upstream has reached the session's position"
    ),
    ErrorKind.UPSTREAM_LOST: ErrorAnswer(
        "08006", Executed.NO, True, "the upstream was lost; nothing was committed"
    ),
    ErrorKind.ANSWER_CUT: ErrorAnswer(
        "08006", Executed.NO, True, "the answer of a read broke off; it is not whole"
    ),
    ErrorKind.OUTCOME_UNKNOWN: ErrorAnswer(
        "08007", Executed.UNKNOWN, False, "the outcome of the transaction is not known"
    ),
    ErrorKind.ALREADY_RAN: ErrorAnswer(
        "23505", Executed.YES, False, "a request with this idempotency key already ran"
    ),
    ErrorKind.IDLE_IN_TRANSACTION: ErrorAnswer(
        "25P03", Executed.NO, True, "the transaction was idle too long; rolled back"
    ),
    ErrorKind.TRANSACTION_FAILED: ErrorAnswer(
        "25P02",
        Executed.NO,
        False,
        "current transaction is aborted, commands ignored until end of transaction"
        " block",
    ),
    ErrorKind.READ_ONLY_TRANSACTION: ErrorAnswer(
        "25006", Executed.NO, False, "a read-only transaction can't write"
    ),
    ErrorKind.UNKNOWN_STATEMENT: ErrorAnswer(
        "26000",
        Executed.NO,
        False,
        "the prepared statement is not known in this session",
    ),
    ErrorKind.STATEMENT_FAILED: ErrorAnswer(
        "XX000",
        Executed.UNKNOWN,
        False,
        "the upstream failed while it ran the statement",
    ),
    ErrorKind.STATEMENT_TIMED_OUT: ErrorAnswer(
        "57014",
        Executed.UNKNOWN,
        False,
        "the statement took longer than its route allows",
    ),
    ErrorKind.REQUEST_TOO_LARGE: ErrorAnswer(
        "54000", Executed.NO, False, "the message passes the limit", fatal=True
    ),
    ErrorKind.CANCELLED: ErrorAnswer(
        "57014", Executed.NO, True, "the request was cancelled"
    ),
    ErrorKind.SHUTTING_DOWN: ErrorAnswer(
        "57P01", Executed.NO, True, "the proxy is shutting down", fatal=True
    ),
    ErrorKind.CUT_OFF: ErrorAnswer(
        "57P03",
        Executed.NO,
        True,
        "the proxy is cut off from the platform's store and its peers",
    ),
    ErrorKind.INTERNAL: ErrorAnswer(
        "XX000", Executed.UNKNOWN, False, "internal error of the proxy", fatal=True
    ),
}


class RequestError(Exception):
    """A request that ends with an error answer.

    Attributes:
        kind: Kind of error.
        reason: What happened, for the DETAIL field and the log.
        retry_after_s: Seconds after which a retry may succeed, or None.
    """

    def __init__(
        self,
        kind: ErrorKind,
        reason: str = "",
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(f"{kind}: {reason}" if reason else str(kind))
        self.kind = kind
        self.reason = reason
        self.retry_after_s = retry_after_s


def build_error_fields(error: RequestError) -> dict[str, str]:
    """Build the fields of the ErrorResponse for an error.

    Args:
        error: The error that ends the request.

    Returns:
        Field code to value, as in the PostgreSQL protocol. DETAIL always starts
        with `ran=no`, `ran=yes` or `ran=unknown`; HINT says whether and when to retry.
    """
    answer = ERROR_ANSWERS[error.kind]
    severity = "FATAL" if answer.fatal else "ERROR"
    detail = f"ran={answer.ran} kind={error.kind}"
    if error.reason:
        detail = f"{detail}: {error.reason}"
    return {
        "S": severity,
        "V": severity,
        "C": answer.sqlstate,
        "M": answer.text,
        "D": detail,
        "H": build_retry_hint(answer, error.retry_after_s),
    }


def build_retry_hint(answer: ErrorAnswer, retry_after_s: float | None) -> str:
    """Build the HINT field, which says whether and when to retry.

    Args:
        answer: Answer of the error's kind.
        retry_after_s: Seconds to wait before a retry; if None, a short random time, so
            that callers who lost the same upstream don't retry at the same moment.

    Returns:
        `retry=no`, or `retry=yes` with `after_ms=N`.
    """
    if not answer.retry:
        return "retry=no"
    if retry_after_s is None:
        retry_after_s = random.uniform(SHORTEST_RETRY_S, LONGEST_RETRY_S)
    return f"retry=yes after_ms={round(retry_after_s * 1000)}"
