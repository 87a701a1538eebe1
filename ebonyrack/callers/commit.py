"""Commits: sent once, answered when a majority holds the data written or read."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pygwire.messages import ErrorResponse

from ebonyrack.callers.answers import build_query
from ebonyrack.callers.position_query import build_position_query
from ebonyrack.callers.position_query import get_contract
from ebonyrack.callers.position_query import read_last_commit
from ebonyrack.callers.position_query import read_position
from ebonyrack.callers.recorded_answer import COMMIT_TAG
from ebonyrack.callers.relay import Relay
from ebonyrack.callers.upstream_steps import confirm_read
from ebonyrack.callers.upstream_steps import confirm_write
from ebonyrack.callers.upstream_steps import report_token
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.routing.idempotency import build_outcome_record
from ebonyrack.routing.idempotency import build_refusal
from ebonyrack.upstreams.connection import UpstreamLostError

if TYPE_CHECKING:
    from ebonyrack.callers.exchange import Request
    from ebonyrack.callers.session import CallerSession
    from ebonyrack.core.position import LogPosition
    from ebonyrack.upstreams.connection import UpstreamConnection

ROLLBACK_TAG = "ROLLBACK"


@dataclass(frozen=True, slots=True)
class CommitAnswer:
    """The answer to a request that may have committed.

    Attributes:
        relay: Relay of the request's answer, which is still held back.
        position: Position of the connection's last commit; LOG_START if there is none.
    """

    relay: Relay
    position: LogPosition


async def send_commit(
    session: CallerSession, request: Request, record: str = ""
) -> CommitAnswer:
    """Send a request that commits, together with the query for its log position.

    Args:
        session: The session, which holds a connection to the primary.
        request: What to send.
        record: Statement that records the outcome of an idempotency key in the same
            transaction, sent first; if it fails, a COMMIT rolls back.

    Returns:
        The answer.

    Raises:
        RequestError: OUTCOME_UNKNOWN if the upstream is lost; UPSTREAM_LOST or
            UNSUPPORTED if the transaction is known to have rolled back.
    """
    connection = session.connection
    assert connection is not None
    exchange = request.render(connection)
    relay = Relay(session, connection, exchange, hold_completed=True)
    query = get_contract(session).build_last_commit()
    record_data = build_query(record) if record else b""
    session.send_with_query(record_data + exchange.data, query)
    refusal = None
    try:
        if record:
            refusal = await read_refusal(session, connection)
        await relay.run()
        position = await read_last_commit(session, query)
    except UpstreamLostError as error:
        kind = ErrorKind.OUTCOME_UNKNOWN if refusal is None else refusal.kind
        raise session.handle_upstream_lost(error, kind) from error
    if refusal is not None:
        raise choose_refusal_error(relay, refusal)
    return CommitAnswer(relay, position)


async def read_refusal(
    session: CallerSession, connection: UpstreamConnection
) -> RequestError | None:
    """Read the reply to the statement that records an outcome.

    Args:
        session: The session.
        connection: The connection that it holds.

    Returns:
        The upstream's error, or None if the outcome is recorded. An error proves
        that the transaction has rolled back, even if the connection ends after it.

    Raises:
        UpstreamLostError: If the connection ended without an error.
    """
    refusal: RequestError | None = None
    while True:
        try:
            message = await session.wait_for_message(connection)
        except UpstreamLostError:
            if refusal is None:
                raise
            return refusal
        if message.kind == b"E":
            refusal = build_refusal(ErrorResponse.decode(message.payload).fields)
        if message.kind == b"Z":
            return refusal


def choose_refusal_error(relay: Relay, refusal: RequestError) -> RequestError:
    """Choose the error for a request whose outcome record was refused.

    The COMMIT sent after the record should have rolled the transaction back.

    Args:
        relay: Relay of the answer to the COMMIT.
        refusal: The upstream's error for the record.

    Returns:
        The error for the caller: the refusal, or OUTCOME_UNKNOWN if the upstream
        reports a commit nevertheless.
    """
    if COMMIT_TAG not in relay.tags:
        return refusal
    return RequestError(ErrorKind.OUTCOME_UNKNOWN, refusal.reason)


async def commit_write(session: CallerSession, request: Request, key: str) -> bool:
    """Commit a transaction that may have written.

    Args:
        session: The session, with its transaction open.
        request: The COMMIT, of the caller or of the proxy.
        key: Idempotency key that the transaction has claimed, or an empty string.

    Returns:
        Whether it succeeded.

    Raises:
        RequestError: OUTCOME_UNKNOWN, or UPSTREAM_LOST if it was rolled back.
    """
    connection = session.connection
    assert connection is not None
    record = build_outcome_record(key, COMMIT_TAG) if key else ""
    answer = await send_commit(session, request, record)
    relay = answer.relay
    has_committed = relay.error is None and relay.tags != [ROLLBACK_TAG]
    session.transaction.update_status()
    if has_committed:
        await confirm_write(session, connection, answer.position)
    session.stream.write(relay.output)
    if has_committed:
        report_token(session)
    return relay.error is None


async def confirm_inner_commit(
    session: CallerSession, connection: UpstreamConnection
) -> None:
    """Confirm a commit that was one of several statements in a query.

    Args:
        session: The session, which still holds back the answer.
        connection: The connection that it holds.

    Raises:
        RequestError: OUTCOME_UNKNOWN if it can't be confirmed, or UPSTREAM_LOST if it
            was rolled back.
    """
    query = get_contract(session).build_last_commit()
    try:
        connection.send(build_query(query))
        position = await read_last_commit(session, query)
    except UpstreamLostError as error:
        raise session.handle_upstream_lost(error, ErrorKind.OUTCOME_UNKNOWN) from error
    await confirm_write(session, connection, position)


async def commit_read(session: CallerSession, request: Request) -> bool:
    """Commit a transaction that wrote nothing.

    Args:
        session: The session, with its transaction open.
        request: The COMMIT, of the caller or of the proxy.

    Returns:
        Whether it succeeded.

    Raises:
        RequestError: POSITION_NOT_REACHED if what it read was not confirmed,
            UPSTREAM_LOST if the upstream was lost.
    """
    connection = session.connection
    assert connection is not None
    exchange = request.render(connection)
    relay = Relay(session, connection, exchange, hold_completed=True)
    transaction = session.transaction
    is_promoted = transaction.needs_replica and connection.is_standby is False
    needs_confirmation = transaction.needs_confirmation or is_promoted
    query = build_position_query(session) if needs_confirmation else b""
    try:
        connection.send(exchange.data + query)
        await relay.run()
        if needs_confirmation:
            position = await read_position(session)
    except UpstreamLostError as error:
        raise session.handle_upstream_lost(error, ErrorKind.UPSTREAM_LOST) from error
    session.transaction.update_status()
    if needs_confirmation:
        await confirm_read(session, position)
    session.stream.write(relay.output)
    return relay.error is None
