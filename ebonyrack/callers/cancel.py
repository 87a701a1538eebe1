"""Cancel requests of callers, which affect only the session that they name."""

from __future__ import annotations

import asyncio
import hmac
from typing import TYPE_CHECKING

from loguru import logger

from ebonyrack.callers.upstream_holder import SessionPhase
from ebonyrack.upstreams.connection import UpstreamLostError

if TYPE_CHECKING:
    from ebonyrack.callers.session import CallerSession
    from ebonyrack.upstreams.connection import UpstreamConnection

CANCEL_TIMEOUT_S = 2.0


async def cancel_request(
    sessions: dict[int, CallerSession], number: int, secret_key: bytes
) -> bool:
    """Cancel the current request of a session if the secret key matches.

    As in PostgreSQL, the caller gets no answer to a cancel request.

    Args:
        sessions: Sessions by number.
        number: Number of the session.
        secret_key: Secret key in the cancel request.

    Returns:
        Whether this proxy has a session with that number and secret key.
    """
    session = sessions.get(number)
    if session is None or not hmac.compare_digest(session.secret_key, secret_key):
        return False
    await cancel_current_request(session)
    return True


async def cancel_current_request(session: CallerSession) -> None:
    """Cancel the current request of a session.

    Args:
        session: The session.
    """
    logger.bind(session=session.number).info("cancel_requested")
    if session.cancel_scope is not None:
        session.cancel_scope.reschedule(asyncio.get_running_loop().time())
        return
    connection = session.connection
    if connection is None or session.phase is not SessionPhase.UPSTREAM:
        return
    if not session.is_committing and session.cancel_done is None:
        await forward_cancel(session, connection)


async def forward_cancel(
    session: CallerSession, connection: UpstreamConnection
) -> None:
    """Forward a cancel request to the upstream that serves the session.

    The session holds the connection until its request ends, and a connection for
    which a cancel request was sent is closed instead of reused, so that a late cancel
    request can't affect another caller's statement. Within a transaction the session
    sends nothing more before the upstream has received the cancel request.

    Args:
        session: The session.
        connection: Upstream connection of the session.
    """
    done = session.cancel_done = asyncio.Event()
    try:
        await connection.cancel(CANCEL_TIMEOUT_S)
    except UpstreamLostError as error:
        logger.bind(reason=error.reason).warning("cancel_not_forwarded")
    finally:
        done.set()


async def cancel_abandoned(connection: UpstreamConnection) -> None:
    """Cancel the statement of an abandoned connection, to free its upstream slot.

    Args:
        connection: The connection, which is already closed.
    """
    try:
        await connection.cancel(CANCEL_TIMEOUT_S)
    except UpstreamLostError as error:
        logger.bind(reason=error.reason).debug("cancel_not_forwarded")
