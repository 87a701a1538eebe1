"""One HTTP/1.1 connection to the platform, which serves one request at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import h11

from ebonyrack.core.address import Address
from ebonyrack.core.socket_options import SocketOptions
from ebonyrack.core.socket_options import set_options

READ_BYTES = 64 * 1024

HttpHeaders = tuple[tuple[bytes, bytes], ...]


class HttpConnection:
    """A connection that is kept open between requests.

    Attributes:
        reader: Receives from the server.
        writer: Sends to the server.
        protocol: State of the HTTP connection.
    """

    __slots__ = ("reader", "writer", "protocol")

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.protocol = h11.Connection(our_role=h11.CLIENT)

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent."""
        is_idle = self.protocol.our_state is h11.IDLE
        return is_idle and not self.reader.at_eof() and not self.writer.is_closing()

    def close(self) -> None:
        """Close the connection at once."""
        self.writer.transport.abort()

    async def exchange(
        self, method: str, target: str, headers: Sequence[tuple[str, str]], body: bytes
    ) -> tuple[int, HttpHeaders, bytes]:
        """Send a request and return status, headers and body of its response.

        Raises:
            OSError: If the connection broke.
            h11.ProtocolError: If the response is invalid or incomplete.
        """
        request = h11.Request(method=method, target=target, headers=list(headers))
        data = self.protocol.send(request) or b""
        if body:
            data += self.protocol.send(h11.Data(data=body)) or b""
        data += self.protocol.send(h11.EndOfMessage()) or b""
        self.writer.write(data)
        await self.writer.drain()
        status = 0
        received: HttpHeaders = ()
        parts: list[bytes] = []
        while True:
            event = await self.receive_event()
            if isinstance(event, h11.Response):
                status, received = event.status_code, tuple(event.headers)
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError("closed before the response")
        if self.protocol.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}:
            self.protocol.start_next_cycle()
        else:
            self.close()
        return status, received, b"".join(parts)

    async def receive_event(self) -> h11.Event:
        """Return the next event of the response."""
        while True:
            event = self.protocol.next_event()
            if isinstance(event, h11.Event):
                return event
            self.protocol.receive_data(await self.reader.read(READ_BYTES))


async def open_http_connection(
    address: Address, options: SocketOptions
) -> HttpConnection:
    """Open a connection.

    Raises:
        OSError: If it is refused or unreachable.
    """
    reader, writer = await asyncio.open_connection(address.host, address.port)
    set_options(writer.get_extra_info("socket"), options)
    return HttpConnection(reader, writer)
