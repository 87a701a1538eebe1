"""Commits: sent once, answered when a majority holds what was written or read."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ebonyrack.callers.relay import Relay
from ebonyrack.callers.upstream_use import ask_last_commit
from ebonyrack.callers.upstream_use import build_position_question
from ebonyrack.callers.upstream_use import confirm_read
from ebonyrack.callers.upstream_use import finish_write
from ebonyrack.callers.upstream_use import get_contract
from ebonyrack.callers.upstream_use import read_position
from ebonyrack.callers.upstream_use import write_token
from ebonyrack.core.errors import ErrorKind
from ebonyrack.routing.idempotency import record_outcome
from ebonyrack.upstreams.connection import UpstreamLostError

if TYPE_CHECKING:
    from ebonyrack.callers.exchange import Request
    from ebonyrack.callers.session import CallerSession

COMMIT_TAG = "COMMIT"
ROLLBACK_TAG = "ROLLBACK"


async def record_commit(session: CallerSession, key: str) -> None:
    """Record the outcome under the idempotency key, before the commit.

    Args:
        session: The session, with its transaction open.
        key: The key, which the transaction has claimed.

    Raises:
        RequestError: UPSTREAM_LOST; the transaction is rolled back.
    """
    assert session.connection is not None
    limit_s = session.group.section.answer_wait_s
    try:
        await record_outcome(session.connection, key, COMMIT_TAG, limit_s)
    except UpstreamLostError as error:
        raise session.lose_upstream(error, ErrorKind.UPSTREAM_LOST) from error


async def commit_write(session: CallerSession, request: Request) -> bool:
    """Send COMMIT and the question for its position in one go.

    Args:
        session: The session, with its transaction open.
        request: The caller's COMMIT.

    Returns:
        Whether it succeeded.

    Raises:
        RequestError: OUTCOME_UNKNOWN or UPSTREAM_LOST.
    """
    connection = session.connection
    assert connection is not None
    exchange = request.render(connection)
    relay = Relay(session, connection, exchange, holds=True)
    question = get_contract(session).build_last_commit()
    session.send_surely(exchange.data, question)
    try:
        await relay.run()
        session.transaction.status = connection.transaction_status
        position = await ask_last_commit(session, question)
    except UpstreamLostError as error:
        raise session.lose_upstream(error, ErrorKind.OUTCOME_UNKNOWN) from error
    has_committed = relay.error is None and relay.tags != [ROLLBACK_TAG]
    session.transaction.follow_status()
    if has_committed:
        await finish_write(session, connection, position)
    session.stream.write(relay.output)
    if has_committed:
        write_token(session)
    return relay.error is None


async def commit_read(session: CallerSession, request: Request) -> bool:
    """Commit a transaction that wrote nothing.

    Args:
        session: The session, with its transaction open.
        request: The caller's COMMIT.

    Returns:
        Whether it succeeded.

    Raises:
        RequestError: POSITION_NOT_REACHED if what it read was not confirmed,
            UPSTREAM_LOST if the upstream went away.
    """
    connection = session.connection
    assert connection is not None
    exchange = request.render(connection)
    relay = Relay(session, connection, exchange, holds=True)
    transaction = session.transaction
    is_promoted = transaction.needs_replica and connection.is_standby is False
    needs_confirmation = transaction.needs_confirmation or is_promoted
    question = build_position_question(session) if needs_confirmation else b""
    try:
        connection.send(exchange.data + question)
        await relay.run()
        if needs_confirmation:
            position = await read_position(session)
    except UpstreamLostError as error:
        raise session.lose_upstream(error, ErrorKind.UPSTREAM_LOST) from error
    session.transaction.follow_status()
    if needs_confirmation:
        await confirm_read(session, position)
    session.stream.write(relay.output)
    return relay.error is None
