"""Reads that are sent to a replica before their read index is known."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from ebonyrack.callers.position_query import build_position_query
from ebonyrack.callers.position_query import read_status
from ebonyrack.callers.read_steps import acquire_for_read
from ebonyrack.callers.read_steps import check_still_replica
from ebonyrack.callers.read_steps import finish_read
from ebonyrack.callers.read_steps import report_interrupted_read
from ebonyrack.callers.relay import Relay
from ebonyrack.callers.upstream_holder import SessionPhase
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.routing.read_overlap import choose_overlap
from ebonyrack.upstreams.connection import UpstreamLostError

if TYPE_CHECKING:
    from ebonyrack.callers.exchange import Request
    from ebonyrack.callers.session import CallerSession
    from ebonyrack.routing.read_overlap import Overlap
    from ebonyrack.routing.read_placement import ReadRequirement
    from ebonyrack.upstreams.upstream import Upstream


async def run_overlapped_read(
    session: CallerSession,
    request: Request,
    requirement: ReadRequirement,
    deadline_s: float,
) -> bool | None:
    """Serve a read that is sent before its read index is known, if that saves time.

    Args:
        session: The session.
        request: What to send.
        requirement: What the read must see.
        deadline_s: Monotonic time by which it must have been sent, in seconds.

    Returns:
        Whether the upstream answered without an error. None if the read must still
        be placed; nothing has been sent to the caller then.

    Raises:
        ReadInterruptedError: If the upstream was lost.
        MisclassifiedWriteError: If it is a write.
        RequestError: If it can't be served or was cancelled.
    """
    overlap = choose_overlap(session.group, session.read_index, requirement, deadline_s)
    if overlap is None:
        return None
    try:
        with overlap:
            overlap.start()
            await acquire_for_read(session, overlap.replica, deadline_s)
            relay = await send_overlapped_read(session, request, overlap)
        if relay is None:
            return None
        await relay_replica_read(session, relay, overlap.replica)
        finish_read(session, relay)
        session.stream.write(relay.output)
        return relay.error is None
    finally:
        session.transaction.release()


async def send_overlapped_read(
    session: CallerSession, request: Request, overlap: Overlap
) -> Relay | None:
    """Send a poll followed by the read, and wait until its answer may be used.

    The answer is not read before, so that back-pressure stops the upstream if the
    answer is large.

    Args:
        session: The session, which holds a connection to the replica.
        request: What to send.
        overlap: The overlapped read.

    Returns:
        The relay of the answer, or None if the answer must not be used.

    Raises:
        ReadInterruptedError: If the upstream was lost.
        RequestError: CANCELLED if the answer is dropped and the caller has cancelled
            the read.
    """
    connection = session.connection
    assert connection is not None
    exchange = request.render(connection)
    relay = Relay(session, connection, exchange, hold_completed=False)
    # Lets the polls be sent first, so that they are answered while the replica reads.
    await asyncio.sleep(0)
    try:
        connection.send(build_position_query(session) + exchange.data)
        status = await read_status(session)
    except UpstreamLostError as error:
        raise report_interrupted_read(session, overlap.replica, error, False) from error
    # The read is running, so a cancel request that arrives now is meant for it.
    session.enter_phase(SessionPhase.UPSTREAM)
    placement = await overlap.validate(status)
    session.enter_phase(SessionPhase.WORKING)
    if placement is not None:
        return relay
    if connection.is_cancelled:
        raise RequestError(ErrorKind.CANCELLED)
    consume_dropped_answer(relay)
    return None


def consume_dropped_answer(relay: Relay) -> None:
    """Read the part of a dropped answer that has already arrived.

    If that is the whole answer, the connection can be reused with its prepared
    statements.

    Args:
        relay: The relay of the answer, whose output is not used.
    """
    with contextlib.suppress(UpstreamLostError):
        message = relay.connection.pop_message()
        while message is not None and message.kind != b"Z":
            relay.process_message(message)
            message = relay.connection.pop_message()


async def relay_replica_read(
    session: CallerSession, relay: Relay, upstream: Upstream
) -> None:
    """Relay the answer of a replica.

    Args:
        session: The session.
        relay: The relay.
        upstream: The replica.

    Raises:
        ReadInterruptedError: If it was lost or has become the primary meanwhile.
    """
    try:
        await relay.run()
        check_still_replica(relay.connection)
    except UpstreamLostError as error:
        raise report_interrupted_read(
            session, upstream, error, relay.has_sent
        ) from error
