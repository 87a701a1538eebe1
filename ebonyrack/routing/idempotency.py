"""Idempotency keys, which let a request run only once, in the group's own database."""

from __future__ import annotations

import datetime
from dataclasses import dataclass
from urllib.parse import quote
from urllib.parse import unquote

from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.upstreams.connection import QueryResult
from ebonyrack.upstreams.connection import UpstreamConnection

REQUEST_TABLE = "ebonyrack_requests"
# Encoding can triple the size of a key, and the result must fit into an index entry.
MAXIMUM_KEY_BYTES = 800
MAXIMUM_OUTCOME_BYTES = 12 * 1024
DELETE_BATCH_ROWS = 500
# A retry can't resolve these: the table or a column is missing, or access is denied.
PERMANENT_SQLSTATES = frozenset({"42P01", "42501", "42703"})


@dataclass(frozen=True, slots=True)
class Claim:
    """Result of claiming a key.

    Attributes:
        is_first: Whether no request with this key has committed before.
        outcome: Recorded outcome of the request that has; empty for the first one.
    """

    is_first: bool
    outcome: str


def encode_text(text: str, limit: int) -> str:
    """Percent-encode a text so that it is safe in an SQL literal.

    Args:
        text: The text.
        limit: Largest number of bytes allowed.

    Returns:
        Its percent-encoded form, which contains no quote and no backslash.

    Raises:
        RequestError: UNSUPPORTED if it is too long.
    """
    data = text.encode("utf-8", "surrogatepass")
    if len(data) > limit:
        reason = f"text of {len(data)} bytes, {limit} allowed"
        raise RequestError(ErrorKind.UNSUPPORTED, reason)
    return quote(data, safe=" :/+,;=|@")


def decode_text(text: str) -> str:
    """Decode a text that `encode_text` has encoded.

    Args:
        text: The percent-encoded form.
    """
    return unquote(text, errors="surrogatepass")


async def claim_key(
    connection: UpstreamConnection, key: str, timeout_s: float, begin: str = ""
) -> Claim:
    """Claim an idempotency key in the open transaction.

    The database serialises requests with the same key: a second one waits until the
    first has committed or rolled back, whichever proxies they came through.

    Args:
        connection: A connection to the primary, with an open transaction unless
            `begin` is given.
        key: The key.
        timeout_s: Timeout of each of the two queries, in seconds.
        begin: Statement that begins the transaction, sent in the same round trip;
            empty if one is open.

    Returns:
        Whether the request is the first with the key, or the recorded outcome.

    Raises:
        RequestError: UNSUPPORTED if the key is too long or the table can't be
            used, UPSTREAM_LOST if the upstream refuses; nothing was committed.
        UpstreamLostError: If the upstream is lost.
    """
    literal = encode_text(key, MAXIMUM_KEY_BYTES)
    insert = (
        f"INSERT INTO {REQUEST_TABLE} (key, outcome, created_at)"
        f" VALUES ('{literal}', '', now()) ON CONFLICT (key) DO NOTHING"
    )
    # On separate lines, so that a comment in one does not hide the other.
    sql = f"{begin}\n;\n{insert}" if begin else insert
    result = await connection.query(sql, timeout_s)
    raise_refusal(result)
    if result.tag == "INSERT 0 1":
        return Claim(True, "")
    return Claim(False, await read_outcome(connection, literal, timeout_s))


async def read_outcome(
    connection: UpstreamConnection, literal: str, timeout_s: float
) -> str:
    """Read the recorded outcome of a key that has been claimed before.

    Args:
        connection: The connection that could not claim the key.
        literal: The key, encoded.
        timeout_s: Timeout of the query, in seconds.

    Returns:
        The outcome.

    Raises:
        RequestError: UNSUPPORTED if the table can't be used, UPSTREAM_LOST if
            the upstream refuses or the key expired.
        UpstreamLostError: If the upstream is lost.
    """
    select = f"SELECT outcome FROM {REQUEST_TABLE} WHERE key = '{literal}'"
    result = await connection.query(select, timeout_s)
    raise_refusal(result)
    if not result.rows:
        # The key was removed meanwhile: the request is not the first, and the outcome
        # of the first one is unknown.
        reason = "the key expired during the request"
        raise RequestError(ErrorKind.UPSTREAM_LOST, reason)
    return decode_text(result.rows[0][0] or "")


def build_outcome_record(key: str, outcome: str) -> str:
    """Build the statement that records the outcome of a claimed key.

    It is sent together with the COMMIT, so it must never succeed without recording the
    outcome: a row that the request itself has deleted is inserted again.

    Args:
        key: The key, claimed in the open transaction.
        outcome: Outcome that a repeated request is given.

    Returns:
        The statement; `build_refusal` interprets its error.

    Raises:
        RequestError: UNSUPPORTED if the outcome is too long.
    """
    literal = encode_text(key, MAXIMUM_KEY_BYTES)
    value = encode_text(outcome, MAXIMUM_OUTCOME_BYTES)
    return (
        f"INSERT INTO {REQUEST_TABLE} (key, outcome, created_at)"
        f" VALUES ('{literal}', '{value}', now())"
        " ON CONFLICT (key) DO UPDATE SET outcome = excluded.outcome"
    )


async def remove_expired(
    connection: UpstreamConnection, retention_s: float, timeout_s: float
) -> int:
    """Remove keys older than the retention time, a bounded number per call.

    Ages are measured by the database's clock alone.

    Args:
        connection: A connection to the primary outside of a transaction.
        retention_s: Seconds for which a key is kept.
        timeout_s: Timeout of each of the two queries, in seconds.

    Returns:
        Number of keys removed; call again while it is `DELETE_BATCH_ROWS`.

    Raises:
        RequestError: UNSUPPORTED or UPSTREAM_LOST if the upstream refuses.
        UpstreamLostError: If the upstream is lost.
    """
    result = await connection.query("SELECT now()", timeout_s)
    raise_refusal(result)
    database_time = datetime.datetime.fromisoformat(result.rows[0][0] or "")
    cutoff = database_time - datetime.timedelta(seconds=retention_s)
    delete = (
        f"DELETE FROM {REQUEST_TABLE} WHERE key IN (SELECT key FROM {REQUEST_TABLE}"
        f" WHERE created_at < '{cutoff.isoformat(sep=' ')}' LIMIT {DELETE_BATCH_ROWS})"
    )
    result = await connection.query(delete, timeout_s)
    raise_refusal(result)
    return int(result.tag.rpartition(" ")[2])


def raise_refusal(result: QueryResult) -> None:
    """Raise an error if the upstream refused the statement.

    Args:
        result: Result of the statement.

    Raises:
        RequestError: UNSUPPORTED if a retry can't help, else UPSTREAM_LOST.
    """
    if result.error is not None:
        raise build_refusal(result.error)


def build_refusal(fields: dict[str, str]) -> RequestError:
    """Build the error for a statement on the key table that the upstream refused.

    Args:
        fields: Fields of the upstream's ErrorResponse.

    Returns:
        The error; nothing was committed.
    """
    sqlstate = fields.get("C", "")
    is_permanent = sqlstate in PERMANENT_SQLSTATES
    kind = ErrorKind.UNSUPPORTED if is_permanent else ErrorKind.UPSTREAM_LOST
    return RequestError(kind, f"{REQUEST_TABLE}: {sqlstate} {fields.get('M', '')}")
