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
# The length field of a frame counts itself but not the kind byte.
LENGTH_BYTES = 4
MAXIMUM_FRAME_BYTES = 64 * 1024 * 1024
READ_BUFFER_BYTES = 256 * 1024


@dataclass(frozen=True, slots=True)
class Message:
    """One protocol message as it arrived.

    Attributes:
        kind: Kind byte.
        raw: The whole frame, header included.
    """

    kind: bytes
    raw: bytes

    @property
    def payload(self) -> memoryview:
        """The frame without its header."""
        return memoryview(self.raw)[HEADER_BYTES:]


class FrameTransport(ConnectionStream):
    """Splits what arrives from an upstream into frames."""

    __slots__ = ()

    eof_reason = "the upstream closed the connection"

    def __init__(self) -> None:
        super().__init__(READ_BUFFER_BYTES)

    def build_lost_error(self, reason: str) -> UpstreamLostError:
        """Build the error that readers and writers get after the end."""
        return UpstreamLostError(reason)

    def close(self, reason: str) -> None:
        """Drop the connection at once, without sending what is still queued.

        Args:
            reason: Why, for whoever reads from it later.
        """
        self.abort(reason)

    def take_frame(self) -> Message | None:
        """Take the next whole frame that has arrived, or return None.

        Raises:
            UpstreamLostError: If the length of the frame is not valid.
        """
        if len(self.buffer) < HEADER_BYTES:
            return None
        kind, length = HEADER.unpack_from(self.buffer)
        if not LENGTH_BYTES <= length <= MAXIMUM_FRAME_BYTES:
            self.close(f"the upstream sent a frame of {length} bytes")
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
            The frame. Frames that arrived before the connection ended still come.

        Raises:
            UpstreamLostError: If the connection ended before a whole frame came.
        """
        while True:
            message = self.take_frame()
            if message is not None:
                return message
            if self.lost_reason is not None:
                raise UpstreamLostError(self.lost_reason)
            await self.wait_for_bytes()


async def connect(address: Address) -> FrameTransport:
    """Open the TCP connection.

    Args:
        address: Address by IP number.

    Returns:
        The connection.

    Raises:
        UpstreamLostError: If it is refused or unreachable.
    """
    loop = asyncio.get_running_loop()
    try:
        _, frames = await loop.create_connection(
            FrameTransport, address.host, address.port
        )
    except OSError as error:
        raise UpstreamLostError(f"can't connect to {address}: {error}") from error
    return frames
