"""Writes outside a transaction: sent once, answered when a majority holds them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ebonyrack.callers.answers import build_parameter_status
from ebonyrack.callers.claim import claim_session_key
from ebonyrack.callers.commit import send_commit
from ebonyrack.callers.internal_request import INTERNAL_BEGIN_SQL
from ebonyrack.callers.internal_request import INTERNAL_COMMIT
from ebonyrack.callers.recorded_answer import COMMIT_TAG
from ebonyrack.callers.recorded_answer import build_recorded_answer
from ebonyrack.callers.recorded_answer import build_repeated_answer
from ebonyrack.callers.recorded_answer import encode_answer
from ebonyrack.callers.relay import Relay
from ebonyrack.callers.transaction_status import IDLE
from ebonyrack.callers.transaction_status import OPEN
from ebonyrack.callers.upstream_steps import acquire_primary_connection
from ebonyrack.callers.upstream_steps import confirm_replay
from ebonyrack.callers.upstream_steps import confirm_write
from ebonyrack.callers.upstream_steps import report_token
from ebonyrack.callers.upstream_steps import run_internal_statement
from ebonyrack.callers.variables import REPLAYED
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.routing.idempotency import build_outcome_record
from ebonyrack.upstreams.connection import UpstreamLostError

if TYPE_CHECKING:
    from ebonyrack.callers.exchange import Request
    from ebonyrack.callers.session import CallerSession

READ_ONLY_SQLSTATE = "25006"


async def run_write(session: CallerSession, request: Request) -> bool:
    """Serve a write that is a transaction of its own.

    Args:
        session: The session.
        request: What to send, at most once.

    Returns:
        Whether the upstream answered without an error.

    Raises:
        RequestError: Its kind says whether the write ran.
    """
    key = session.variables.idempotency_key
    if key:
        session.variables.idempotency_key = ""
        return await run_keyed_write(session, request, key)
    await acquire_primary_connection(session)
    try:
        return await relay_write(session, request)
    finally:
        if session.transaction.status == IDLE:
            session.transaction.release()


async def relay_write(session: CallerSession, request: Request) -> bool:
    """Send a write on the held connection and relay its answer.

    Args:
        session: The session, which holds a connection to the primary.
        request: What to send.

    Returns:
        Whether the upstream answered without an error.

    Raises:
        RequestError: NO_PRIMARY or UPSTREAM_LOST if it did not run,
            OUTCOME_UNKNOWN if that is not known.
    """
    connection = session.connection
    assert connection is not None
    answer = await send_commit(session, request)
    relay = answer.relay
    if relay.sqlstate == READ_ONLY_SQLSTATE and relay.completed_commands == 0:
        raise RequestError(ErrorKind.NO_PRIMARY, "the upstream is now a replica")
    session.record_serving_upstream()
    if connection.transaction_status == IDLE:
        session.release_connection()
    else:
        session.transaction.adopt()
    # An error after a completed command may follow a COMMIT within the query.
    if relay.error is None or relay.completed_commands:
        await confirm_write(session, connection, answer.position)
        session.stream.write(relay.output)
        report_token(session)
    else:
        session.stream.write(relay.output)
    return relay.error is None


async def run_keyed_write(session: CallerSession, request: Request, key: str) -> bool:
    """Serve a write that must run at most once.

    Args:
        session: The session.
        request: What to send.
        key: Idempotency key.

    Returns:
        Whether it succeeded, now or earlier.

    Raises:
        RequestError: Its kind says whether the write ran.
    """
    await acquire_primary_connection(session)
    try:
        outcome = await claim_session_key(session, key, INTERNAL_BEGIN_SQL)
        if outcome is not None:
            return await replay(session, request, outcome)
        return await relay_keyed_write(session, request, key)
    finally:
        session.transaction.release()


async def replay(session: CallerSession, request: Request, outcome: str) -> bool:
    """Answer a request that ran earlier with its recorded outcome.

    Args:
        session: The session, which has found the outcome on its connection.
        request: The request.
        outcome: The recorded outcome.

    Returns:
        True.

    Raises:
        RequestError: OUTCOME_UNKNOWN if no majority holds the outcome in time,
            UPSTREAM_LOST if a change of primary has discarded it, ALREADY_RAN if the
            record does not answer this request.
    """
    await confirm_replay(session)
    session.stream.write(
        build_repeated_answer(session.identity.application, request, outcome)
    )
    session.stream.write(build_parameter_status(REPLAYED, "on"))
    report_token(session)
    return True


async def relay_keyed_write(session: CallerSession, request: Request, key: str) -> bool:
    """Run a write whose key is claimed, record its outcome and commit.

    Args:
        session: The session, with an open transaction on its connection.
        request: What to send.
        key: The key.

    Returns:
        Whether the upstream answered without an error.

    Raises:
        RequestError: UPSTREAM_LOST if it did not run, OUTCOME_UNKNOWN if that is
            not known, UNSUPPORTED if its rows are too large to be recorded.
    """
    connection = session.connection
    assert connection is not None
    exchange = request.render(connection)
    relay = Relay(session, connection, exchange, hold_completed=True)
    try:
        connection.send(exchange.data)
        await relay.run()
        if relay.error is not None:
            await run_internal_statement(session, "ROLLBACK")
            session.stream.write(relay.output)
            return False
    except UpstreamLostError as error:
        raise session.handle_upstream_lost(error, ErrorKind.UPSTREAM_LOST) from error
    check_transaction_open(session)
    record = await build_answer_record(session, request, key, relay)
    if not await commit_keyed_write(session, record):
        return False
    session.stream.write(relay.output)
    session.stream.write(build_parameter_status(REPLAYED, "off"))
    report_token(session)
    return True


async def build_answer_record(
    session: CallerSession, request: Request, key: str, relay: Relay
) -> str:
    """Build the statement that records a write's answer, or roll the write back.

    Args:
        session: The session, with the transaction on its connection.
        request: What was sent.
        key: The key.
        relay: Relay of the whole answer.

    Returns:
        The statement.

    Raises:
        RequestError: UNSUPPORTED if the answer is too large to be recorded.
    """
    try:
        answer = build_recorded_answer(session.identity.application, request, relay)
        return build_outcome_record(key, encode_answer(answer))
    except RequestError:
        await run_internal_statement(session, "ROLLBACK")
        raise


async def commit_keyed_write(session: CallerSession, record: str) -> bool:
    """Commit the transaction that the proxy opened for a keyed write.

    Args:
        session: The session, with the transaction on its connection.
        record: Statement that records the outcome under the key.

    Returns:
        Whether it succeeded; if not, the upstream's error was sent to the caller.

    Raises:
        RequestError: OUTCOME_UNKNOWN, or UPSTREAM_LOST if it did not run.
    """
    connection = session.connection
    assert connection is not None
    await session.wait_for_pending_cancel()
    session.is_committing = True
    try:
        answer = await send_commit(session, INTERNAL_COMMIT, record)
    finally:
        session.is_committing = False
    session.record_serving_upstream()
    session.release_connection()
    if answer.relay.error is not None:
        session.stream.write(answer.relay.output)
        return False
    if answer.relay.tags != [COMMIT_TAG]:
        raise RequestError(ErrorKind.UPSTREAM_LOST, "COMMIT was answered with ROLLBACK")
    await confirm_write(session, connection, answer.position)
    return True


def check_transaction_open(session: CallerSession) -> None:
    """Raise an error if a statement has ended the proxy's transaction.

    Args:
        session: The session, which holds the connection.

    Raises:
        RequestError: OUTCOME_UNKNOWN, since the statement may have committed.
    """
    connection = session.connection
    if connection is None or connection.transaction_status != OPEN:
        reason = "the statement ended the transaction of its idempotency key"
        raise RequestError(ErrorKind.OUTCOME_UNKNOWN, reason)
