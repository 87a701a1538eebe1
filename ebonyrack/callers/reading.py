"""Reads outside a transaction: placed on an upstream, relayed and retried once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ebonyrack.callers.overlapped_read import run_overlapped_read
from ebonyrack.callers.position_query import build_position_query
from ebonyrack.callers.position_query import read_position
from ebonyrack.callers.read_steps import MisclassifiedWriteError
from ebonyrack.callers.read_steps import ReadInterruptedError
from ebonyrack.callers.read_steps import acquire_for_read
from ebonyrack.callers.read_steps import check_still_replica
from ebonyrack.callers.read_steps import finish_read
from ebonyrack.callers.read_steps import report_interrupted_read
from ebonyrack.callers.relay import Relay
from ebonyrack.callers.upstream_steps import build_requirement
from ebonyrack.callers.upstream_steps import confirm_read
from ebonyrack.callers.writing import run_write
from ebonyrack.core.clock import now_s
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.routing.read_placement import place_read
from ebonyrack.upstreams.connection import UpstreamLostError

if TYPE_CHECKING:
    from ebonyrack.callers.exchange import Request
    from ebonyrack.callers.session import CallerSession
    from ebonyrack.routing.read_placement import ReadPlacement


async def run_read(session: CallerSession, request: Request) -> bool:
    """Serve a read, retrying it on another upstream if the first one is lost.

    An overlapped read whose answer was dropped does not count as an attempt.

    Args:
        session: The session.
        request: What to send.

    Returns:
        Whether the upstream answered without an error.

    Raises:
        RequestError: If no complete answer could be given.
    """
    deadline_s = now_s() + session.group.section.queue_wait_s
    try:
        return await attempt_read(session, request, deadline_s, frozenset())
    except ReadInterruptedError as error:
        if error.has_sent:
            raise RequestError(ErrorKind.ANSWER_CUT, error.reason) from error
        excluded = frozenset({error.upstream_name})
    except MisclassifiedWriteError:
        return await run_write(session, request)
    try:
        return await attempt_read(session, request, deadline_s, excluded)
    except ReadInterruptedError as error:
        kind = ErrorKind.ANSWER_CUT if error.has_sent else ErrorKind.UPSTREAM_LOST
        raise RequestError(kind, error.reason) from error
    except MisclassifiedWriteError:
        return await run_write(session, request)


async def attempt_read(
    session: CallerSession,
    request: Request,
    deadline_s: float,
    excluded: frozenset[str],
) -> bool:
    """Place a read and serve it.

    Args:
        session: The session.
        request: What to send.
        deadline_s: Monotonic time by which it must have been sent, in seconds.
        excluded: Names of upstreams that must not serve it.

    Returns:
        Whether the upstream answered without an error.

    Raises:
        ReadInterruptedError: If the upstream was lost.
        MisclassifiedWriteError: If it is a write.
        RequestError: If it can't be served.
    """
    group = session.group
    requirement = build_requirement(session)
    if not excluded:
        is_success = await run_overlapped_read(
            session, request, requirement, deadline_s
        )
        if is_success is not None:
            return is_success
    placement = await session.wait_cancellable(
        place_read(group, session.read_index, requirement, deadline_s, excluded)
    )
    await acquire_for_read(session, placement.upstream, deadline_s)
    try:
        return await relay_read(session, request, placement)
    finally:
        session.transaction.release()


async def relay_read(
    session: CallerSession, request: Request, placement: ReadPlacement
) -> bool:
    """Send a read on the held connection and relay its answer.

    Args:
        session: The session, which holds a connection.
        request: What to send.
        placement: Placement of the read.

    Returns:
        Whether the upstream answered without an error.

    Raises:
        ReadInterruptedError: If the upstream was lost.
        MisclassifiedWriteError: If it is a write.
        RequestError: POSITION_NOT_REACHED if the data that it read was not confirmed.
    """
    connection = session.connection
    assert connection is not None
    needs_confirmation = placement.hold_until_confirmed
    exchange = request.render(connection)
    relay = Relay(session, connection, exchange, hold_completed=needs_confirmation)
    query = build_position_query(session) if needs_confirmation else b""
    try:
        connection.send(exchange.data + query)
        await relay.run()
        if needs_confirmation:
            position = await read_position(session)
        elif placement.needs_replica:
            check_still_replica(connection)
    except UpstreamLostError as error:
        raise report_interrupted_read(
            session, placement.upstream, error, relay.has_sent
        ) from error
    finish_read(session, relay)
    if needs_confirmation and relay.error is None:
        await confirm_read(session, position)
    session.stream.write(relay.output)
    return relay.error is None
