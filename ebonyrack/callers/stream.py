"""PostgreSQL protocol frames over a caller's TCP connection."""

from __future__ import annotations

import asyncio
import contextlib
import struct
from typing import TYPE_CHECKING

from ebonyrack.core.byte_stream import ByteStream
from ebonyrack.core.byte_stream import wake
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.upstreams.transport import Message

if TYPE_CHECKING:
    from collections.abc import Callable

HEADER = struct.Struct("!cI")
HEADER_BYTES = HEADER.size
STARTUP_HEADER = struct.Struct("!I")
# The length field of a frame counts itself but not the kind byte.
LENGTH_BYTES = 4
MAXIMUM_STARTUP_BYTES = 10000
READ_BUFFER_BYTES = 64 * 1024
WRITE_BUFFER_BYTES = 64 * 1024


class CallerStream(ByteStream):
    """Splits the bytes of a caller into frames and detects its disconnect.

    Attributes:
        is_lost: Whether the caller has closed or lost the connection.
        is_eof_sent: Whether the proxy has closed its sending side.
        on_connected: Called once with this stream when the caller has connected.
        on_lost: Called when the connection is lost, or None.
    """

    __slots__ = ("is_lost", "is_eof_sent", "on_connected", "on_lost")

    def __init__(self, on_connected: Callable[[CallerStream], None]) -> None:
        super().__init__(READ_BUFFER_BYTES)
        self.is_lost = False
        self.is_eof_sent = False
        self.on_connected = on_connected
        self.on_lost: Callable[[], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and call `on_connected` (called by asyncio)."""
        super().connection_made(transport)
        assert self.transport is not None
        self.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self.on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes unless EOF was sent (called by asyncio)."""
        if not self.is_eof_sent:
            super().data_received(data)

    def eof_received(self) -> bool:
        """Treat EOF as a disconnect (called by asyncio)."""
        self.mark_lost()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Mark the connection as lost (called by asyncio)."""
        self.mark_lost()

    def mark_lost(self) -> None:
        """Mark the connection as lost, once, and wake waiting tasks."""
        if self.is_lost:
            return
        self.is_lost = True
        self.wake_waiters()
        if self.on_lost is not None:
            self.on_lost()

    def write(self, data: bytes | bytearray) -> None:
        """Queue bytes for the caller; bytes for a lost connection are dropped.

        Args:
            data: Complete frames.
        """
        if not self.is_lost and self.transport is not None:
            self.transport.write(data)

    async def drain(self) -> None:
        """Wait until the send buffer has room or the connection is lost."""
        while self.is_writing_paused and not self.is_lost:
            await self.wait_until_writable()

    def send_eof(self) -> None:
        """Send EOF after queued bytes and discard further received bytes."""
        self.is_eof_sent = True
        self.buffer.clear()
        wake(self.data_waiter)
        if self.transport is None:
            return
        # The socket can't be shut down if the caller has just disconnected.
        with contextlib.suppress(OSError):
            self.transport.write_eof()

    async def wait_for_close(self) -> None:
        """Wait until the caller closes the connection.

        Closing earlier could reset the connection if a request is in transit, and the
        caller would lose the final error.
        """
        while not self.is_lost:
            await self.wait_for_bytes()

    def close(self) -> None:
        """Close the connection after sending queued bytes."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection at once and drop queued bytes."""
        if self.transport is not None:
            self.transport.abort()

    def pop_frame(self, maximum_bytes: int) -> Message | None:
        """Remove and return the next complete frame, or None if there is none yet.

        Args:
            maximum_bytes: Maximum length of a frame.

        Raises:
            RequestError: BAD_REQUEST if the length is not valid or too large.
        """
        if len(self.buffer) < HEADER_BYTES:
            return None
        kind, length = HEADER.unpack_from(self.buffer)
        check_length(length, maximum_bytes)
        end = length + 1
        if len(self.buffer) < end:
            return None
        raw = bytes(self.buffer[:end])
        del self.buffer[:end]
        return Message(kind, raw)

    async def read_frame(self, maximum_bytes: int) -> Message | None:
        """Wait for the next complete frame.

        Args:
            maximum_bytes: Maximum length of a frame.

        Returns:
            The frame, or None if the caller has disconnected.

        Raises:
            RequestError: BAD_REQUEST if the length is not valid or too large.
        """
        while True:
            frame = self.pop_frame(maximum_bytes)
            if frame is not None:
                return frame
            if not await self.wait_for_data():
                return None

    async def read_startup(self) -> bytes | None:
        """Wait for a startup packet, which has no kind byte.

        Returns:
            The packet with its length field, or None if the caller has disconnected.

        Raises:
            RequestError: BAD_REQUEST if the length is not valid.
        """
        while True:
            if len(self.buffer) >= LENGTH_BYTES:
                (length,) = STARTUP_HEADER.unpack_from(self.buffer)
                check_length(length - LENGTH_BYTES, MAXIMUM_STARTUP_BYTES)
                if len(self.buffer) >= length:
                    packet = bytes(self.buffer[:length])
                    del self.buffer[:length]
                    return packet
            if not await self.wait_for_data():
                return None

    async def wait_for_data(self) -> bool:
        """Resume reading and wait until bytes arrive.

        Returns:
            False if the connection was lost or EOF was sent instead.
        """
        if self.is_lost or self.is_eof_sent:
            return False
        await self.wait_for_bytes()
        return bool(self.buffer) or not (self.is_lost or self.is_eof_sent)


def check_length(length: int, maximum_bytes: int) -> None:
    """Reject a frame whose length is invalid or too large.

    Args:
        length: Length field of the frame.
        maximum_bytes: Maximum length of a frame.

    Raises:
        RequestError: BAD_REQUEST.
    """
    if length < LENGTH_BYTES:
        raise RequestError(ErrorKind.BAD_REQUEST, f"frame of {length} bytes")
    if length > maximum_bytes:
        reason = f"frame of {length} bytes, limit {maximum_bytes}"
        raise RequestError(ErrorKind.BAD_REQUEST, reason)
