"""Socket options by which TCP finds out that the other side has gone silent."""

from __future__ import annotations

import asyncio
import socket

from ebonyrack.core.address import Address

# TCP keep-alive probes detect a dead connection within seconds, even while the other
# side holds an answer back. Time to the first probe, interval and number of probes:
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Time for which sent bytes may stay unacknowledged, in milliseconds.
USER_TIMEOUT_MS = 2000

SocketOptions = tuple[tuple[int, int, int], ...]

KEEPALIVE_OPTIONS: SocketOptions = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
)


def set_options(connection: socket.socket, options: SocketOptions) -> None:
    """Set options of a socket.

    Args:
        connection: The socket.
        options: Level, name and value of each option.
    """
    for level, name, value in options:
        connection.setsockopt(level, name, value)


async def connect_socket(address: Address, options: SocketOptions) -> socket.socket:
    """Open a TCP connection.

    Args:
        address: Address to connect to.
        options: Options that are set before.

    Returns:
        The connected socket, which doesn't block.

    Raises:
        OSError: If it is refused or unreachable.
    """
    connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        connection.setblocking(False)
        set_options(connection, options)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(connection, (address.host, address.port))
    except BaseException:
        connection.close()
        raise
    return connection
