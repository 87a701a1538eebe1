"""The messages of one connection to a stand-in upstream, both ways."""

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
    """Reads messages and sends answers as the faults of the upstream let them.

    Attributes:
        upstream: The upstream.
        reader: Incoming bytes.
        writer: Outgoing bytes.
        decoder: Decoder of the caller's messages.
        received: Bytes that arrived last.
        out: Bytes of answers not sent yet.
    """

    __slots__ = ("upstream", "reader", "writer", "decoder", "received", "out")

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
        self.received = b""
        self.out = bytearray()

    def abort(self) -> None:
        """Break the connection off."""
        self.writer.transport.abort()

    async def next_message(self) -> messages.PGMessage:
        """Return the caller's next message; answers are sent before a wait.

        Raises:
            ConnectionError: If the caller has gone.
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
        """Take in the bytes that come next.

        Raises:
            ConnectionError: If the caller has gone.
        """
        self.received = await self.reader.read(READ_BYTES)
        await self.upstream.faults.wait_receivable(PROXIES)
        if not self.received:
            raise ConnectionResetError("the caller has gone")
        if self.upstream.options.link_delay_s:
            await asyncio.sleep(self.upstream.options.link_delay_s)
        self.decoder.feed(self.received)

    def send(self, message: messages.PGMessage) -> None:
        """Add a message to the answers."""
        self.out += message.to_wire()

    def send_error(self, error: SqlError) -> None:
        """Add an error to the answers; a fatal one ends the connection.

        Raises:
            ConnectionAbortedError: If the error is fatal.
        """
        self.send(messages.ErrorResponse(error.build_fields()))
        if error.fatal:
            raise ConnectionAbortedError(error.text)

    async def flush(self) -> None:
        """Send the answers, after whatever delay the faults ask for."""
        if not self.out:
            return
        faults, options = self.upstream.faults, self.upstream.options
        delay_s = faults.answer_delay_s + options.link_delay_s
        if delay_s:
            await asyncio.sleep(delay_s)
        await faults.wait_sendable(PROXIES)
        data = bytes(self.out)
        self.out.clear()
        self.writer.write(data)
        await self.writer.drain()
