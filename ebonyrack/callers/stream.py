"""Protocol frames over one TCP connection from a caller."""

from __future__ import annotations

import asyncio
import contextlib
import struct
from typing import TYPE_CHECKING

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


class CallerStream(asyncio.Protocol):
    """Splits what a caller sends into frames and bounds what waits on either side.

    Attributes:
        transport: The TCP transport, once connected.
        buffer: Bytes that have arrived and are not taken yet.
        is_lost: Whether the caller has closed or lost the connection.
        is_finished: Whether the proxy has sent the end of the stream.
        on_connected: Called once with this stream when the caller has connected.
        on_lost: Called when the connection has ended, or None.
    """

    __slots__ = (
        "transport",
        "buffer",
        "is_lost",
        "is_finished",
        "is_paused",
        "is_writing_paused",
        "data_waiter",
        "drain_waiter",
        "on_connected",
        "on_lost",
    )

    def __init__(self, on_connected: Callable[[CallerStream], None]) -> None:
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.is_lost = False
        self.is_finished = False
        self.is_paused = False
        self.is_writing_paused = False
        self.data_waiter: asyncio.Future[None] | None = None
        self.drain_waiter: asyncio.Future[None] | None = None
        self.on_connected = on_connected
        self.on_lost: Callable[[], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport (called by asyncio)."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self.on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Keep arrived bytes (called by asyncio)."""
        if self.is_finished:
            return
        self.buffer += data
        if len(self.buffer) >= READ_BUFFER_BYTES and not self.is_paused:
            self.is_paused = True
            assert self.transport is not None
            self.transport.pause_reading()
        wake(self.data_waiter)

    def eof_received(self) -> bool:
        """Treat the end of the stream as a caller that has gone (by asyncio)."""
        self.mark_lost()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Note that the connection has ended (called by asyncio)."""
        self.mark_lost()

    def pause_writing(self) -> None:
        """Make `drain` wait (called by asyncio)."""
        self.is_writing_paused = True

    def resume_writing(self) -> None:
        """Let `drain` go on (called by asyncio)."""
        self.is_writing_paused = False
        wake(self.drain_waiter)

    def mark_lost(self) -> None:
        """Note the end of the connection once and wake whoever waits."""
        if self.is_lost:
            return
        self.is_lost = True
        wake(self.data_waiter)
        wake(self.drain_waiter)
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
            self.drain_waiter = asyncio.get_running_loop().create_future()
            await self.drain_waiter

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

    async def wait_for_bytes(self) -> None:
        """Read on and wait until bytes arrive or the connection ends."""
        if self.is_paused:
            # The frame in work is longer than the buffer, or the buffer is empty.
            self.is_paused = False
            assert self.transport is not None
            self.transport.resume_reading()
        self.data_waiter = asyncio.get_running_loop().create_future()
        try:
            await self.data_waiter
        finally:
            self.data_waiter = None


def wake(waiter: asyncio.Future[None] | None) -> None:
    """Wake a waiting reader or writer, if there is one.

    Args:
        waiter: Future that it waits for, or None.
    """
    if waiter is not None and not waiter.done():
        waiter.set_result(None)


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
