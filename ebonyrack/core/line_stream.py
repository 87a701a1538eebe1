"""Lines of bounded length over one TCP connection, with back-pressure."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from collections.abc import Callable
from contextlib import asynccontextmanager

from ebonyrack.core.address import Address
from ebonyrack.core.connection_stream import ConnectionStream
from ebonyrack.core.socket_options import connect_socket

# What ends a line. A lone carriage return or line feed is part of the line.
LINE_END = b"\r\n"
# Longest line without its end; the supported protocols allow no longer messages.
MAXIMUM_LINE_BYTES = 1024 * 1024
READ_BUFFER_BYTES = 256 * 1024
# Size of the send buffer above which writers wait for the other side.
WRITE_BUFFER_BYTES = 256 * 1024


class LineTooLongError(Exception):
    """The other side sent a line that exceeds the limit."""


class LineIncompleteError(Exception):
    """The other side did not send the rest of a line in time."""


class StreamLostError(Exception):
    """The connection has ended.

    Attributes:
        reason: What happened.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class LineStream(ConnectionStream):
    """Splits received bytes into lines.

    Attributes:
        searched: Leading bytes of the buffer that are known to hold no line end.
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
        """Store the transport and report the connection (called by asyncio)."""
        super().connection_made(transport)
        assert self.transport is not None
        self.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        if self.on_connected is not None:
            self.on_connected(self)

    def build_lost_error(self, reason: str) -> StreamLostError:
        """Build the error that readers and writers get after the connection is lost."""
        return StreamLostError(reason)

    def close(self, reason: str) -> None:
        """Close the connection after sending what is queued.

        Args:
            reason: Why, for the error that later readers get.
        """
        self.mark_lost(reason)
        if self.transport is not None:
            self.transport.close()

    @property
    def peer(self) -> str:
        """Host and port of the other side; empty if they are not known."""
        if self.transport is None:
            return ""
        name = self.transport.get_extra_info("peername")
        return f"{name[0]}:{name[1]}" if name else ""

    def pop_line(self) -> bytes | None:
        """Remove and return the next whole line without its end, or return None.

        Raises:
            LineTooLongError: If the line exceeds the limit.
        """
        end = self.buffer.find(LINE_END, self.searched)
        if end < 0:
            # A carriage return in the last place may be half of the line's end.
            self.searched = len(self.buffer) - self.buffer.endswith(LINE_END[:1])
            if self.searched > MAXIMUM_LINE_BYTES:
                raise LineTooLongError
            return None
        if end > MAXIMUM_LINE_BYTES:
            raise LineTooLongError
        line = bytes(self.buffer[:end])
        del self.buffer[: end + len(LINE_END)]
        self.searched = 0
        return line

    async def read_line(self, rest_limit_s: float | None = None) -> bytes:
        """Wait for the next whole line.

        Args:
            rest_limit_s: Seconds from the line's first byte to its end, or None for no
                limit. A line that hasn't begun may take any time.

        Raises:
            StreamLostError: If the connection ended before a whole line arrived.
            LineTooLongError: If the line exceeds the limit.
            LineIncompleteError: If its rest did not arrive in time.
        """
        while True:
            line = self.pop_line()
            if line is not None:
                return line
            if self.buffer and rest_limit_s is not None:
                async with limit_line(rest_limit_s):
                    return await self.read_line()
            await self.wait_for_more()

    async def skip_line(self, limit_s: float) -> None:
        """Drop the rest of a line as it arrives, without keeping it.

        Args:
            limit_s: Seconds until its end must have arrived.

        Raises:
            StreamLostError: If the connection ended before the end of the line.
            LineIncompleteError: If the end did not arrive in time.
        """
        async with limit_line(limit_s):
            while (end := self.buffer.find(LINE_END)) < 0:
                kept_bytes = self.buffer.endswith(LINE_END[:1])
                del self.buffer[: len(self.buffer) - kept_bytes]
                await self.wait_for_more()
        del self.buffer[: end + len(LINE_END)]
        self.searched = 0

    async def wait_for_more(self) -> None:
        """Wait until more bytes arrive.

        Raises:
            StreamLostError: If the connection has ended.
        """
        if self.lost_reason is not None:
            raise StreamLostError(self.lost_reason)
        await self.wait_for_bytes()


@asynccontextmanager
async def limit_line(limit_s: float) -> AsyncIterator[None]:
    """Limit the time in which the rest of a line must arrive.

    Args:
        limit_s: The time in seconds.

    Raises:
        LineIncompleteError: If it takes longer.
    """
    try:
        async with asyncio.timeout(limit_s):
            yield
    except TimeoutError:
        raise LineIncompleteError from None


async def open_line_stream(
    address: Address, unacknowledged_limit_ms: int
) -> LineStream:
    """Open a connection that breaks when sent bytes stay unacknowledged.

    Args:
        address: Address to connect to.
        unacknowledged_limit_ms: TCP breaks the connection when sent bytes stay
            unacknowledged for this many milliseconds.

    Returns:
        The connection.

    Raises:
        StreamLostError: If it is refused or unreachable.
    """
    loop = asyncio.get_running_loop()
    limit = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged_limit_ms)
    try:
        connection = await connect_socket(address, (limit,))
    except OSError as error:
        raise StreamLostError(f"can't connect to {address}: {error}") from error
    try:
        _, stream = await loop.create_connection(LineStream, sock=connection)
    except OSError as error:
        connection.close()
        raise StreamLostError(f"can't connect to {address}: {error}") from error
    except BaseException:
        connection.close()
        raise
    return stream
