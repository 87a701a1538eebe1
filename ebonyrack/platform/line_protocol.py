"""Codes of the line protocol used by callers and upstreams."""

from __future__ import annotations

from ebonyrack.core.errors import ErrorKind
from ebonyrack.requests.reply import RejectionKind
from ebonyrack.requests.reply import TransactionState

# Placeholder for a missing id, signature or position.
NO_VALUE = b"-"

STATE_CODES: dict[TransactionState, bytes] = {
    TransactionState.IDLE: b"I",
    TransactionState.OPEN: b"T",
    TransactionState.FAILED: b"E",
}
STATES_BY_CODE = {code: state for state, code in STATE_CODES.items()}

REJECTIONS_BY_CODE: dict[bytes, RejectionKind] = {
    b"BUSY": RejectionKind.BUSY,
    b"LAGGING": RejectionKind.LAGGING,
    b"READONLY": RejectionKind.READ_ONLY,
    b"WRONGNODE": RejectionKind.WRONG_UPSTREAM,
    b"TOOMANY": RejectionKind.TOO_MANY_CONNECTIONS,
    b"NOSTMT": RejectionKind.UNKNOWN_STATEMENT,
    b"FAILED": RejectionKind.FAILED,
    b"TIMEOUT": RejectionKind.TIMED_OUT,
}

# BUSY and ABORTED guarantee the caller that nothing of its attempt was kept; the kinds
# mapped to them are raised only where this holds.
ERROR_CODES: dict[ErrorKind, bytes] = {
    ErrorKind.QUEUE_FULL: b"BUSY",
    ErrorKind.WAIT_TOO_LONG: b"BUSY",
    ErrorKind.RATE_LIMITED: b"BUSY",
    ErrorKind.NO_PRIMARY: b"BUSY",
    ErrorKind.NO_UPSTREAM: b"BUSY",
    ErrorKind.POSITION_NOT_REACHED: b"BUSY",
    ErrorKind.TOO_MANY_CALLERS: b"BUSY",
    ErrorKind.CUT_OFF: b"BUSY",
    ErrorKind.SHUTTING_DOWN: b"ABORTED",
    ErrorKind.UPSTREAM_LOST: b"ABORTED",
    ErrorKind.ANSWER_CUT: b"ABORTED",
    ErrorKind.IDLE_IN_TRANSACTION: b"ABORTED",
    ErrorKind.READ_ONLY_TRANSACTION: b"READONLY",
    ErrorKind.UNKNOWN_STATEMENT: b"NOSTMT",
    ErrorKind.STATEMENT_FAILED: b"FAILED",
    ErrorKind.STATEMENT_TIMED_OUT: b"TIMEOUT",
    ErrorKind.OUTCOME_UNKNOWN: b"INDOUBT",
    ErrorKind.UNKNOWN_GROUP: b"NODB",
    ErrorKind.UNKNOWN_ACCOUNT: b"DENIED",
    ErrorKind.REQUEST_TOO_LARGE: b"TOOLARGE",
    ErrorKind.BAD_REQUEST: b"MALFORMED",
    ErrorKind.TRANSACTION_FAILED: b"MALFORMED",
    ErrorKind.INTERNAL: b"INDOUBT",
}
