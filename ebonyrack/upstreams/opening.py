"""Opens sessions with an upstream: connects, authenticates and runs the startup."""

from __future__ import annotations

import asyncio

from pygwire.exceptions import PygwireError

from ebonyrack.core.address import Address
from ebonyrack.upstreams.authentication import StartupResult
from ebonyrack.upstreams.authentication import start_session
from ebonyrack.upstreams.connection import UpstreamConnection
from ebonyrack.upstreams.transport import FrameTransport
from ebonyrack.upstreams.transport import UpstreamLostError
from ebonyrack.upstreams.transport import connect


async def open_connection(
    address: Address, user: str, password: str, database: str, timeout_s: float
) -> UpstreamConnection:
    """Open a session with an upstream.

    Args:
        address: Address of the upstream.
        user: User name.
        password: Password; empty if the upstream uses trust authentication.
        database: Database name.
        timeout_s: Seconds for connecting and starting the session.

    Returns:
        The session, idle.

    Raises:
        UpstreamLostError: If the session is rejected, lost or not ready in time.
    """
    try:
        async with asyncio.timeout(timeout_s):
            frames = await connect(address)
            start = await start_or_close(frames, user, password, database)
    except TimeoutError:
        raise UpstreamLostError(
            f"no session with {address} within {timeout_s:.3f} s"
        ) from None
    return build_connection(address, frames, start)


async def start_or_close(
    frames: FrameTransport, user: str, password: str, database: str
) -> StartupResult:
    """Start the session; close the connection if that fails.

    Args:
        frames: The connection.
        user: User name.
        password: Password; empty if the upstream uses trust authentication.
        database: Database name.

    Returns:
        What the upstream reported about the session.

    Raises:
        UpstreamLostError: If the session is rejected or lost, or a message can't be
            decoded.
    """
    try:
        return await start_session(frames, user, password, database)
    except PygwireError as error:
        frames.close("session startup failed")
        raise UpstreamLostError(f"cannot decode the startup: {error}") from error
    except BaseException:
        frames.close("session startup failed")
        raise


def build_connection(
    address: Address, frames: FrameTransport, start: StartupResult
) -> UpstreamConnection:
    """Build the session object from the result of the startup.

    Args:
        address: Address of the upstream.
        frames: The connection.
        start: What the upstream reported.

    Returns:
        The session, idle.
    """
    connection = UpstreamConnection(address, frames)
    connection.process_id = start.key.process_id
    connection.secret_key = start.key.secret_key
    connection.transaction_status = start.status
    for message in start.parameters:
        connection.record_role(message)
    return connection
