"""Reading and writing of messages as frames on a byte stream."""

from __future__ import annotations

import asyncio

import msgpack
from msgspec import Struct

from ebonyrack.core import metrics
from ebonyrack.core.clock import now_s
from ebonyrack.peers.codec import MAXIMUM_FRAME_BYTES
from ebonyrack.peers.codec import pack_message
from ebonyrack.peers.codec import parse_frame
from ebonyrack.peers.message import BadMessageError
from ebonyrack.peers.message import Message

SENT = {"direction": "sent"}
RECEIVED = {"direction": "received"}
HANDSHAKE_FRAME_BYTES = 4096
HANDSHAKE_READ_BYTES = 1024
READ_BYTES = 64 * 1024
SEND_QUEUE_BYTES = 4 * 1024 * 1024


class Traffic(Struct):
    """Counters of the links of one process.

    Attributes:
        bytes_sent: Bytes of frames sent.
        bytes_received: Bytes read.
        messages_sent: Frames sent.
        messages_received: Frames read.
    """

    bytes_sent: int = 0
    bytes_received: int = 0
    messages_sent: int = 0
    messages_received: int = 0


class FrameStream:
    """Reads and writes frames; reads only small ones until `accept_full_frames`.

    Attributes:
        reader: Incoming bytes.
        writer: Outgoing bytes.
        traffic: Traffic counters to update.
        last_received_at_s: Time of the last frame received.
    """

    __slots__ = (
        "reader",
        "writer",
        "traffic",
        "last_received_at_s",
        "read_bytes",
        "unpacker",
    )

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        traffic: Traffic,
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.traffic = traffic
        self.last_received_at_s = now_s()
        # Small reads, so that data after the handshake doesn't overflow the buffer.
        self.read_bytes = HANDSHAKE_READ_BYTES
        self.unpacker = msgpack.Unpacker(max_buffer_size=HANDSHAKE_FRAME_BYTES)

    @property
    def is_queue_full(self) -> bool:
        """Whether too much is queued because the other side reads too slowly."""
        return self.writer.transport.get_write_buffer_size() > SEND_QUEUE_BYTES

    def write_frame(self, message: Message, correlation: int = 0) -> None:
        """Queue one message.

        Args:
            message: The message.
            correlation: Number of the request, negative for its reply.
        """
        frame = pack_message(message, correlation)
        self.traffic.bytes_sent += len(frame)
        metrics.peer_bytes.add(len(frame), SENT)
        self.traffic.messages_sent += 1
        self.writer.write(frame)

    async def read_frame(self) -> tuple[Message, int]:
        """Read one message with its correlation.

        Returns:
            The message and its correlation.

        Raises:
            BadMessageError: If the bytes are not a valid message.
            ConnectionError: If the other side closed the stream.
        """
        while True:
            try:
                frame = self.unpacker.unpack()
            except msgpack.OutOfData:
                await self.fill_unpacker()
                continue
            except (ValueError, msgpack.UnpackException) as error:
                raise BadMessageError(f"not msgpack: {error!r}") from error
            self.traffic.messages_received += 1
            self.last_received_at_s = now_s()
            return parse_frame(frame)

    async def fill_unpacker(self) -> None:
        """Read some bytes into the unpacker."""
        chunk = await self.reader.read(self.read_bytes)
        if not chunk:
            raise ConnectionResetError("the other side closed the link")
        self.traffic.bytes_received += len(chunk)
        metrics.peer_bytes.add(len(chunk), RECEIVED)
        try:
            self.unpacker.feed(chunk)
        except msgpack.BufferFull as error:
            raise BadMessageError("the frame is too large") from error

    def accept_full_frames(self) -> None:
        """Accept frames of full size from now on; keep the bytes already read."""
        unpacker = msgpack.Unpacker(max_buffer_size=MAXIMUM_FRAME_BYTES)
        unpacker.feed(self.unpacker.read_bytes(HANDSHAKE_FRAME_BYTES))
        self.unpacker = unpacker
        self.read_bytes = READ_BYTES

    def close_stream(self) -> None:
        """Close the connection."""
        if self.writer.transport.get_write_buffer_size() > 0:
            # A peer that doesn't read would keep the socket open forever.
            self.writer.transport.abort()
        self.writer.close()
