"""Cancel requests: they reach the request of one session and no other."""

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
    """Cancel what the named session runs now, if the secret is right.

    As PostgreSQL does, the proxy answers nothing to the caller.

    Args:
        sessions: Sessions by number.
        number: Number of the session.
        secret_key: Secret that the cancel request names.

    Returns:
        Whether this proxy has that session.
    """
    session = sessions.get(number)
    if session is None or not hmac.compare_digest(session.secret_key, secret_key):
        return False
    await cancel_session(session)
    return True


async def cancel_session(session: CallerSession) -> None:
    """Cancel what a session runs now.

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
        await forward(session, connection)


async def forward(session: CallerSession, connection: UpstreamConnection) -> None:
    """Pass a cancel request on to the upstream that serves the session.

    The session holds the connection until its request is over, and a connection
    that a cancel request was sent for is closed instead of reused, so a request
    that strikes late finds no other caller's statement. Within a transaction the
    session sends nothing more before the upstream has taken the request.

    Args:
        session: The session.
        connection: Its connection.
    """
    done = session.cancel_done = asyncio.Event()
    try:
        await connection.cancel(CANCEL_TIMEOUT_S)
    except UpstreamLostError as error:
        logger.bind(reason=error.reason).warning("cancel_not_forwarded")
    finally:
        done.set()


async def cancel_abandoned(connection: UpstreamConnection) -> None:
    """Cancel what an upstream still runs for nobody, to free its slot.

    Args:
        connection: The connection, closed already.
    """
    try:
        await connection.cancel(CANCEL_TIMEOUT_S)
    except UpstreamLostError as error:
        logger.bind(reason=error.reason).debug("cancel_not_forwarded")
