"""Protocol frames over one TCP connection to an upstream."""

from __future__ import annotations

import asyncio
import struct
from dataclasses import dataclass

from ebonyrack.core.address import Address
from ebonyrack.core.connection_stream import ConnectionStream
from ebonyrack.pooling.upstream_lost import UpstreamLostError

__all__ = ["FrameTransport", "Message", "UpstreamLostError", "connect"]

HEADER = struct.Struct("!cI")
HEADER_BYTES = HEADER.size
# The length field of a frame includes itself but not the type byte.
LENGTH_BYTES = 4
MAXIMUM_FRAME_BYTES = 64 * 1024 * 1024
READ_BUFFER_BYTES = 256 * 1024


@dataclass(frozen=True, slots=True)
class Message:
    """One protocol message, not decoded.

    Attributes:
        kind: Message type byte.
        raw: The whole frame, including the header.
    """

    kind: bytes
    raw: bytes

    @property
    def payload(self) -> memoryview:
        """The frame without its header."""
        return memoryview(self.raw)[HEADER_BYTES:]


class FrameTransport(ConnectionStream):
    """Splits the bytes received from an upstream into frames."""

    __slots__ = ()

    eof_reason = "the upstream closed the connection"

    def __init__(self) -> None:
        super().__init__(READ_BUFFER_BYTES)

    def build_lost_error(self, reason: str) -> UpstreamLostError:
        """Build the error for readers and writers of an ended connection."""
        return UpstreamLostError(reason)

    def close(self, reason: str) -> None:
        """Close the connection immediately, discarding unsent bytes.

        Args:
            reason: Reason, reported to later readers and writers.
        """
        self.abort(reason)

    def pop_frame(self) -> Message | None:
        """Return the next whole frame that has arrived, or None.

        Raises:
            UpstreamLostError: If the length of the frame is invalid.
        """
        if len(self.buffer) < HEADER_BYTES:
            return None
        kind, length = HEADER.unpack_from(self.buffer)
        if not LENGTH_BYTES <= length <= MAXIMUM_FRAME_BYTES:
            self.close(f"the upstream sent an invalid frame of {length} bytes")
            raise UpstreamLostError(self.lost_reason or "")
        end = length + 1
        if len(self.buffer) < end:
            return None
        raw = bytes(self.buffer[:end])
        del self.buffer[:end]
        return Message(kind, raw)

    async def read_frame(self) -> Message:
        """Wait for the next whole frame.

        Returns:
            The frame; frames that arrived before the end of the connection are still
            returned.

        Raises:
            UpstreamLostError: If the connection ended before a whole frame arrived.
        """
        while True:
            message = self.pop_frame()
            if message is not None:
                return message
            if self.lost_reason is not None:
                raise UpstreamLostError(self.lost_reason)
            await self.wait_for_bytes()


async def connect(address: Address) -> FrameTransport:
    """Open the TCP connection.

    Args:
        address: IP address and port.

    Returns:
        The connection.

    Raises:
        UpstreamLostError: If the connection is refused or can't be made.
    """
    loop = asyncio.get_running_loop()
    try:
        _, frames = await loop.create_connection(
            FrameTransport, address.host, address.port
        )
    except OSError as error:
        raise UpstreamLostError(f"cannot connect to {address}: {error}") from error
    return frames
