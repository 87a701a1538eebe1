"""Opens a session with an upstream: connects, authenticates, reads how it started."""

from __future__ import annotations

import asyncio

from pygwire.exceptions import PygwireError

from ebonyrack.core.address import Address
from ebonyrack.upstreams.authentication import SessionStart
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
        password: Password, or an empty string where the upstream trusts.
        database: Database name.
        timeout_s: Seconds for connecting and starting the session.

    Returns:
        The session, idle.

    Raises:
        UpstreamLostError: If the upstream refuses, goes away or takes too long.
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
) -> SessionStart:
    """Start the session, or close the connection if it does not start.

    Args:
        frames: The connection.
        user: User name.
        password: Password, or an empty string where the upstream trusts.
        database: Database name.

    Returns:
        What the upstream said of the session.

    Raises:
        UpstreamLostError: If the upstream refuses, goes away or can't be understood.
    """
    try:
        return await start_session(frames, user, password, database)
    except PygwireError as error:
        frames.close("the session did not start")
        raise UpstreamLostError(f"the startup can't be decoded: {error}") from error
    except BaseException:
        frames.close("the session did not start")
        raise


def build_connection(
    address: Address, frames: FrameTransport, start: SessionStart
) -> UpstreamConnection:
    """Build the session from what the upstream said at its start.

    Args:
        address: Address of the upstream.
        frames: The connection.
        start: What the upstream said.

    Returns:
        The session, idle.
    """
    connection = UpstreamConnection(address, frames)
    connection.process_id = start.key.process_id
    connection.secret_key = start.key.secret_key
    connection.transaction_status = start.status
    for message in start.parameters:
        connection.note_role(message)
    return connection
