"""Protocol frames over one TCP connection from a caller."""

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
    """Splits what a caller sends into frames and notes when it goes.

    Attributes:
        is_lost: Whether the caller has closed or lost the connection.
        is_finished: Whether the proxy has sent the end of the stream.
        on_connected: Called once with this stream when the caller has connected.
        on_lost: Called when the connection has ended, or None.
    """

    __slots__ = ("is_lost", "is_finished", "on_connected", "on_lost")

    def __init__(self, on_connected: Callable[[CallerStream], None]) -> None:
        super().__init__(READ_BUFFER_BYTES)
        self.is_lost = False
        self.is_finished = False
        self.on_connected = on_connected
        self.on_lost: Callable[[], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and report the caller (called by asyncio)."""
        super().connection_made(transport)
        assert self.transport is not None
        self.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self.on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Keep arrived bytes until the end was sent (called by asyncio)."""
        if not self.is_finished:
            super().data_received(data)

    def eof_received(self) -> bool:
        """Treat the end of the stream as a caller that has gone (by asyncio)."""
        self.mark_lost()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Note that the connection has ended (called by asyncio)."""
        self.mark_lost()

    def mark_lost(self) -> None:
        """Note the end of the connection once and wake whoever waits."""
        if self.is_lost:
            return
        self.is_lost = True
        self.wake_waiters()
        if self.on_lost is not None:
            self.on_lost()

    def write(self, data: bytes | bytearray) -> None:
        """Queue bytes for the caller; a caller that has gone gets nothing.

        Args:
            data: Whole frames.
        """
        if not self.is_lost and self.transport is not None:
            self.transport.write(data)

    async def drain(self) -> None:
        """Wait until the caller has taken most of what was queued."""
        while self.is_writing_paused and not self.is_lost:
            await self.wait_until_writable()

    def finish(self) -> None:
        """Send what is queued and the end of the stream; drop all that comes."""
        self.is_finished = True
        self.buffer.clear()
        wake(self.data_waiter)
        if self.transport is None:
            return
        # A caller that has just gone leaves a socket that can't be shut down.
        with contextlib.suppress(OSError):
            self.transport.write_eof()

    async def linger(self) -> None:
        """Wait until the caller has read the end of the stream and closes too.

        Closing earlier could reset the connection under a request on its way, and
        the caller would not learn why.
        """
        while not self.is_lost:
            await self.wait_for_bytes()

    def close(self) -> None:
        """Send what is queued, then close."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close at once and drop what is queued."""
        if self.transport is not None:
            self.transport.abort()

    def take_frame(self, maximum_bytes: int) -> Message | None:
        """Take the next whole frame that has arrived, or return None.

        Args:
            maximum_bytes: Longest frame that is taken.

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
        """Wait for the next whole frame.

        Args:
            maximum_bytes: Longest frame that is taken.

        Returns:
            The frame, or None if the caller has gone.

        Raises:
            RequestError: BAD_REQUEST if the length is not valid or too large.
        """
        while True:
            frame = self.take_frame(maximum_bytes)
            if frame is not None:
                return frame
            if not await self.wait_for_data():
                return None

    async def read_startup(self) -> bytes | None:
        """Wait for a startup packet, which has no kind byte.

        Returns:
            The packet with its length field, or None if the caller has gone.

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
        """Read on and wait until bytes arrive.

        Returns:
            False if the connection has ended instead.
        """
        if self.is_lost or self.is_finished:
            return False
        await self.wait_for_bytes()
        return bool(self.buffer) or not (self.is_lost or self.is_finished)


def check_length(length: int, maximum_bytes: int) -> None:
    """Refuse a frame whose length can't be right.

    Args:
        length: Length field of the frame.
        maximum_bytes: Longest frame allowed.

    Raises:
        RequestError: BAD_REQUEST.
    """
    if length < LENGTH_BYTES:
        raise RequestError(ErrorKind.BAD_REQUEST, f"frame of {length} bytes")
    if length > maximum_bytes:
        reason = f"frame of {length} bytes, limit {maximum_bytes}"
        raise RequestError(ErrorKind.BAD_REQUEST, reason)
