"""Buffered bytes over one TCP connection, with back-pressure in both directions."""

from __future__ import annotations

import asyncio


class ByteStream(asyncio.Protocol):
    """Buffers received bytes and pauses reading when the buffer is full.

    One task at a time may wait for bytes, and one until the stream is writable.

    Attributes:
        limit_bytes: Bytes in the buffer at which reading is paused.
        transport: The TCP transport, once connected.
        buffer: Received bytes that are not consumed yet.
        is_paused: Whether reading is paused until a task waits for bytes.
        is_writing_paused: Whether the send buffer is full.
        data_waiter: Future of the task that waits for bytes, or None.
        drain_waiter: Future of the task that waits until the stream is writable, or
            None.
    """

    __slots__ = (
        "limit_bytes",
        "transport",
        "buffer",
        "is_paused",
        "is_writing_paused",
        "data_waiter",
        "drain_waiter",
    )

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.is_paused = False
        self.is_writing_paused = False
        self.data_waiter: asyncio.Future[None] | None = None
        self.drain_waiter: asyncio.Future[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport (called by asyncio)."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes (called by asyncio)."""
        self.buffer += data
        if len(self.buffer) >= self.limit_bytes and not self.is_paused:
            self.is_paused = True
            assert self.transport is not None
            self.transport.pause_reading()
        wake(self.data_waiter)

    def pause_writing(self) -> None:
        """Make `wait_until_writable` wait (called by asyncio)."""
        self.is_writing_paused = True

    def resume_writing(self) -> None:
        """Wake `wait_until_writable` (called by asyncio)."""
        self.is_writing_paused = False
        wake(self.drain_waiter)

    def wake_waiters(self) -> None:
        """Wake the waiting reader and writer, if there are any."""
        wake(self.data_waiter)
        wake(self.drain_waiter)

    async def wait_until_writable(self) -> None:
        """Wait until the send buffer has room or `wake_waiters` is called."""
        self.drain_waiter = asyncio.get_running_loop().create_future()
        await self.drain_waiter

    async def wait_for_bytes(self) -> None:
        """Resume reading and wait until bytes arrive or `wake_waiters` is called."""
        if self.is_paused:
            # The current frame is longer than the buffer, or the buffer is empty.
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
