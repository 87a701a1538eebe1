"""Bytes over one TCP connection, bounded in both directions."""

from __future__ import annotations

import asyncio


class ByteStream(asyncio.Protocol):
    """Keeps what arrives and stops reading when too much waits.

    One task at a time waits for bytes, and one for room to write.

    Attributes:
        limit_bytes: Bytes in the buffer at which reading stops.
        transport: The TCP transport, once connected.
        buffer: Bytes that have arrived and are not taken yet.
        is_paused: Whether reading is stopped until somebody waits for bytes.
        is_writing_paused: Whether too much waits to be sent.
        data_waiter: Future of the task that waits for bytes, or None.
        drain_waiter: Future of the task that waits for room to write, or None.
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
        """Keep the transport (called by asyncio)."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Keep arrived bytes (called by asyncio)."""
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
        """Let `wait_until_writable` go on (called by asyncio)."""
        self.is_writing_paused = False
        wake(self.drain_waiter)

    def wake_waiters(self) -> None:
        """Wake the reader and the writer that wait, if there are any."""
        wake(self.data_waiter)
        wake(self.drain_waiter)

    async def wait_until_writable(self) -> None:
        """Wait until the queue of bytes to send is shorter or `wake_waiters`."""
        self.drain_waiter = asyncio.get_running_loop().create_future()
        await self.drain_waiter

    async def wait_for_bytes(self) -> None:
        """Read on and wait until bytes arrive or `wake_waiters`."""
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
