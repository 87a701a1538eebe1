"""Lines over one TCP connection, bounded in length and in both directions."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from ebonyrack.core.address import Address
from ebonyrack.core.connection_stream import ConnectionStream

# Longest line and its end; the protocols that are spoken allow no longer message.
MAXIMUM_LINE_BYTES = 1024 * 1024
READ_BUFFER_BYTES = 256 * 1024
# Bytes that wait to be sent before a writer waits for the other side.
WRITE_BUFFER_BYTES = 256 * 1024


class LineTooLongError(Exception):
    """The other side sent a line that passes the limit."""


class StreamLostError(Exception):
    """The connection has ended.

    Attributes:
        reason: What happened.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class LineStream(ConnectionStream):
    """Splits what arrives into lines.

    Attributes:
        searched: Bytes of the buffer that hold no end of a line.
        on_connected: Called once with this stream when it is connected, or None.
    """

    __slots__ = ("searched", "on_connected")

    def __init__(
        self, on_connected: Callable[[LineStream], None] | None = None
    ) -> None:
        super().__init__(READ_BUFFER_BYTES)
        self.searched = 0
        self.on_connected = on_connected

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and report the connection (called by asyncio)."""
        super().connection_made(transport)
        assert self.transport is not None
        self.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        if self.on_connected is not None:
            self.on_connected(self)

    def build_lost_error(self, reason: str) -> StreamLostError:
        """Build the error that readers and writers get after the end."""
        return StreamLostError(reason)

    def close(self, reason: str) -> None:
        """End the connection after what is queued was sent.

        Args:
            reason: Why, for whoever reads from it later.
        """
        self.mark_lost(reason)
        if self.transport is not None:
            self.transport.close()

    def take_line(self) -> bytes | None:
        """Take the next whole line without its end, or return None.

        Raises:
            LineTooLongError: If the line passes the limit.
        """
        end = self.buffer.find(b"\n", self.searched)
        if end < 0:
            self.searched = len(self.buffer)
            if self.searched > MAXIMUM_LINE_BYTES:
                raise LineTooLongError
            return None
        if end > MAXIMUM_LINE_BYTES:
            raise LineTooLongError
        line = bytes(self.buffer[:end])
        del self.buffer[: end + 1]
        self.searched = 0
        return line.removesuffix(b"\r")

    async def read_line(self) -> bytes:
        """Wait for the next whole line.

        Raises:
            StreamLostError: If the connection ended before a whole line came.
            LineTooLongError: If the line passes the limit.
        """
        while True:
            line = self.take_line()
            if line is not None:
                return line
            if self.lost_reason is not None:
                raise StreamLostError(self.lost_reason)
            await self.wait_for_bytes()


async def open_line_stream(address: Address, silence_ms: int) -> LineStream:
    """Open a connection that breaks when sent bytes stay unacknowledged.

    Args:
        address: Address by IP number.
        silence_ms: Milliseconds without an acknowledgement of TCP after which the
            connection breaks.

    Returns:
        The connection.

    Raises:
        StreamLostError: If it is refused or unreachable.
    """
    loop = asyncio.get_running_loop()
    connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    connection.setblocking(False)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, silence_ms)
    try:
        await loop.sock_connect(connection, (address.host, address.port))
        _, stream = await loop.create_connection(LineStream, sock=connection)
    except OSError as error:
        connection.close()
        raise StreamLostError(f"can't connect to {address}: {error}") from error
    except BaseException:
        connection.close()
        raise
    return stream
