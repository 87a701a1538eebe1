"""Steps of requests on upstreams: acquire connections, confirm reads and writes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ebonyrack.callers.answers import build_parameter_status
from ebonyrack.callers.position_query import build_position_query
from ebonyrack.callers.position_query import read_position
from ebonyrack.callers.variables import TOKEN
from ebonyrack.core import metrics
from ebonyrack.core.clock import now_s
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.core.position import LOG_START
from ebonyrack.routing.read_placement import ReadRequirement
from ebonyrack.routing.write_path import acknowledge_write
from ebonyrack.routing.write_path import check_write_admitted
from ebonyrack.upstreams.connection import UpstreamLostError

if TYPE_CHECKING:
    from ebonyrack.callers.session import CallerSession
    from ebonyrack.core.position import LogPosition
    from ebonyrack.upstreams.connection import QueryResult
    from ebonyrack.upstreams.connection import UpstreamConnection
    from ebonyrack.upstreams.upstream import Upstream

# A caller that retries through the load balancer reaches another proxy.
CUT_OFF_RETRY_S = 0.1
# Pause between attempts to reach a primary that has just been lost.
PRIMARY_RETRY_S = 0.02


def build_requirement(session: CallerSession) -> ReadRequirement:
    """Build the requirement for reads of the session.

    Args:
        session: The session.
    """
    variables = session.variables
    return ReadRequirement(
        minimum=variables.token_position,
        max_age_s=variables.maximum_age_s,
        own_writes=variables.own_writes,
        wrote_at_s=variables.wrote_at_s,
    )


async def acquire_primary_connection(session: CallerSession) -> None:
    """Acquire a connection to the primary, waiting for a new primary if necessary.

    Nothing of the request has been sent yet, so an attempt can safely be repeated.

    Args:
        session: The session, which holds the connection afterwards.

    Raises:
        RequestError: If the wait has timed out or the write can't be admitted.
    """
    group = session.group
    deadline_s = now_s() + group.section.queue_wait_s
    while True:
        upstream = await session.wait_cancellable(
            group.wait_for_primary(deadline_s, session.identity.application)
        )
        check_write_admitted(group)
        try:
            await acquire_connection(session, upstream, deadline_s)
        except UpstreamLostError as error:
            group.report_connection_lost(upstream.name, error.reason)
            if now_s() >= deadline_s:
                raise RequestError(ErrorKind.UPSTREAM_LOST, error.reason) from error
            await session.wait_cancellable(asyncio.sleep(PRIMARY_RETRY_S))
            continue
        if group.primary_name == upstream.name:
            return
        session.release_connection()


async def acquire_connection(
    session: CallerSession, upstream: Upstream, deadline_s: float
) -> None:
    """Acquire a connection to an upstream from its pool.

    Args:
        session: The session, which holds the connection afterwards.
        upstream: The upstream.
        deadline_s: Monotonic time at which the wait ends, in seconds.

    Raises:
        RequestError: QUEUE_FULL, WAIT_TOO_LONG, CANCELLED or CUT_OFF.
        UpstreamLostError: If the upstream can't be reached.
    """
    if session.services.is_cut_off():
        raise RequestError(ErrorKind.CUT_OFF, retry_after_s=CUT_OFF_RETRY_S)
    started_s = now_s()
    connection = await session.wait_cancellable(
        upstream.pool.acquire(session.identity.application, deadline_s)
    )
    metrics.queue_time.record(now_s() - started_s, {"group": session.identity.group})
    session.hold_connection(upstream, connection)


async def run_internal_statement(session: CallerSession, sql: str) -> QueryResult:
    """Run a statement of the proxy itself, before anything is committed.

    Args:
        session: A session that holds a connection.
        sql: The statement.

    Returns:
        The result.

    Raises:
        RequestError: UPSTREAM_LOST if the upstream is lost or refuses the statement.
    """
    assert session.connection is not None
    limit_s = session.group.section.answer_wait_s
    try:
        result = await session.connection.query(sql, limit_s)
    except UpstreamLostError as error:
        raise session.handle_upstream_lost(error, ErrorKind.UPSTREAM_LOST) from error
    if result.error is not None:
        reason = f"{sql} was refused: {result.error.get('M', '')}"
        raise RequestError(ErrorKind.UPSTREAM_LOST, reason)
    return result


async def confirm_read(session: CallerSession, position: LogPosition) -> None:
    """Wait until a majority holds the data that a read has seen on a primary.

    Args:
        session: The session.
        position: Position that covers the data.

    Raises:
        RequestError: POSITION_NOT_REACHED if that does not happen in time.
    """
    group = session.group
    try:
        await group.confirm(position, now_s() + group.section.confirm_wait_s)
    except RequestError as error:
        raise RequestError(ErrorKind.POSITION_NOT_REACHED, error.reason) from error


async def confirm_replay(session: CallerSession) -> None:
    """Wait until a majority holds the recorded outcome of an earlier request.

    Args:
        session: A session that has found the outcome on its connection.

    Raises:
        RequestError: OUTCOME_UNKNOWN if that does not happen in time, UPSTREAM_LOST
            if a change of primary has discarded the outcome.
    """
    group = session.group
    await run_internal_statement(session, "ROLLBACK")
    try:
        assert session.connection is not None
        session.connection.send(build_position_query(session))
        position = await read_position(session)
    except UpstreamLostError as error:
        raise session.handle_upstream_lost(error, ErrorKind.OUTCOME_UNKNOWN) from error
    session.release_connection()
    await group.confirm(position, now_s() + group.section.confirm_wait_s)
    session.variables.record_write(position)


async def confirm_write(
    session: CallerSession, connection: UpstreamConnection, position: LogPosition
) -> None:
    """Wait until a commit may be acknowledged, and record its position.

    Args:
        session: The session.
        connection: The connection that committed.
        position: Position of the commit; LOG_START if there was none.

    Raises:
        RequestError: OUTCOME_UNKNOWN if it was not confirmed in time, UPSTREAM_LOST if
            a change of primary has discarded it.
    """
    if position == LOG_START:
        return
    group = session.group
    deadline_s = now_s() + group.section.confirm_wait_s
    await acknowledge_write(group, connection, position, deadline_s)
    session.variables.record_write(position)


def report_token(session: CallerSession) -> None:
    """Report the session's token to the caller.

    Args:
        session: The session.
    """
    token = session.variables.build_token()
    if token:
        session.stream.write(build_parameter_status(TOKEN, token))
