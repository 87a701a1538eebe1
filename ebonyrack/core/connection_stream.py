"""Byte stream over one TCP connection that records why the connection ended."""

from __future__ import annotations

from ebonyrack.core.byte_stream import ByteStream


class ConnectionStream(ByteStream):
    """Base class of streams whose users get an error after the connection is lost.

    Attributes:
        lost_reason: Why the connection has ended, or None while it is open.
    """

    __slots__ = ("lost_reason",)

    # Reason that is recorded if the other side closes the connection.
    eof_reason = "the other side closed the connection"

    def __init__(self, limit_bytes: int) -> None:
        super().__init__(limit_bytes)
        self.lost_reason: str | None = None

    def build_lost_error(self, reason: str) -> Exception:
        """Build the error that readers and writers get after the connection is lost.

        Args:
            reason: What happened.
        """
        raise NotImplementedError

    def eof_received(self) -> bool:
        """Treat the end of the stream as a lost connection (called by asyncio)."""
        self.mark_lost(self.eof_reason)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Record the end of the connection (called by asyncio)."""
        self.mark_lost(f"the connection broke: {error}" if error else "closed")

    def mark_lost(self, reason: str) -> None:
        """Record the first reason for the end of the connection and wake all waiters.

        Args:
            reason: What happened.
        """
        if self.lost_reason is None:
            self.lost_reason = reason
        self.wake_waiters()

    def abort(self, reason: str) -> None:
        """Close the connection at once, without sending what is still queued.

        Args:
            reason: Why, for the error that later readers get.
        """
        self.mark_lost(reason)
        if self.transport is not None:
            self.transport.abort()

    def write(self, data: bytes) -> None:
        """Queue bytes for sending.

        Args:
            data: Bytes to send.

        Raises:
            Exception: The error of `build_lost_error`, if the connection has ended.
        """
        if self.lost_reason is not None or self.transport is None:
            raise self.build_lost_error(self.lost_reason or "not connected")
        self.transport.write(data)

    async def drain(self) -> None:
        """Wait until the send buffer has room.

        Raises:
            Exception: The error of `build_lost_error`, if the connection has ended.
        """
        while self.is_writing_paused and self.lost_reason is None:
            await self.wait_until_writable()
        if self.lost_reason is not None:
            raise self.build_lost_error(self.lost_reason)
