"""Message stream of a connection to a stand-in upstream."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from pygwire import FrontendMessageDecoder
from pygwire import messages

from ebonyrack.standins.faults import PROXIES
from ebonyrack.standins.sql_error import SqlError

if TYPE_CHECKING:
    from ebonyrack.standins.upstream import StandinUpstream

READ_BYTES = 65536


class SessionStream:
    """Receives messages and sends replies, subject to the upstream's faults.

    Attributes:
        upstream: The upstream.
        reader: Incoming bytes.
        writer: Outgoing bytes.
        decoder: Decoder of the caller's messages.
        last_received: Bytes of the last read.
        send_buffer: Encoded replies not sent yet.
    """

    __slots__ = (
        "upstream",
        "reader",
        "writer",
        "decoder",
        "last_received",
        "send_buffer",
    )

    def __init__(
        self,
        upstream: StandinUpstream,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.upstream = upstream
        self.reader = reader
        self.writer = writer
        self.decoder = FrontendMessageDecoder()
        self.last_received = b""
        self.send_buffer = bytearray()

    def abort(self) -> None:
        """Abort the connection."""
        self.writer.transport.abort()

    async def next_message(self) -> messages.PGMessage:
        """Return the caller's next message; flush replies before waiting for data.

        Raises:
            ConnectionError: If the caller has closed the connection.
        """
        while True:
            if not self.upstream.faults.can_receive(PROXIES):
                await self.upstream.faults.wait_receivable(PROXIES)
            message = next(self.decoder, None)
            if message is not None:
                return message
            await self.flush()
            await self.receive()

    async def receive(self) -> None:
        """Read the next bytes and pass them to the decoder.

        Raises:
            ConnectionError: If the caller has closed the connection.
        """
        self.last_received = await self.reader.read(READ_BYTES)
        await self.upstream.faults.wait_receivable(PROXIES)
        if not self.last_received:
            raise ConnectionResetError("the caller closed the connection")
        if self.upstream.options.link_delay_s:
            await asyncio.sleep(self.upstream.options.link_delay_s)
        self.decoder.feed(self.last_received)

    def send(self, message: messages.PGMessage) -> None:
        """Append a message to the send buffer."""
        self.send_buffer += message.to_wire()

    def send_error(self, error: SqlError) -> None:
        """Append an ErrorResponse to the send buffer; a fatal one ends the session.

        Raises:
            ConnectionAbortedError: If the error is fatal.
        """
        self.send(messages.ErrorResponse(error.build_fields()))
        if error.fatal:
            raise ConnectionAbortedError(error.text)

    async def flush(self) -> None:
        """Send the buffered replies after the delays, once the faults permit it."""
        if not self.send_buffer:
            return
        faults, options = self.upstream.faults, self.upstream.options
        delay_s = faults.answer_delay_s + options.link_delay_s
        if delay_s:
            await asyncio.sleep(delay_s)
        await faults.wait_sendable(PROXIES)
        data = bytes(self.send_buffer)
        self.send_buffer.clear()
        self.writer.write(data)
        await self.writer.drain()
