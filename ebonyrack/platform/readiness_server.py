"""HTTP server that reports to the load balancer whether this proxy is ready."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import h11
from loguru import logger

from ebonyrack.core.address import Address
from ebonyrack.core.component import Component

READY_TARGET = b"/ready"
READ_BYTES = 4096
# A connection without a request for this long is closed.
IDLE_TIMEOUT_S = 30.0


class ReadinessServer(Component):
    """HTTP server for readiness probes of the load balancer.

    Attributes:
        address: Address on which it listens.
        is_ready: Returns whether callers should be sent to this proxy.
        server: The listening socket, while open.
    """

    __slots__ = ("address", "is_ready", "server")

    def __init__(self, address: Address, is_ready: Callable[[], bool]) -> None:
        self.address = address
        self.is_ready = is_ready
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening."""
        self.server = await asyncio.start_server(
            self.serve, self.address.host, self.address.port
        )

    async def stop(self) -> None:
        """Stop listening."""
        if self.server is not None:
            self.server.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection."""
        connection = h11.Connection(h11.SERVER)
        try:
            while await self.respond(connection, reader, writer):
                connection.start_next_cycle()
        except (OSError, TimeoutError, h11.ProtocolError) as error:
            logger.bind(reason=repr(error)).debug("probe_connection_ended")
        finally:
            writer.close()

    async def respond(
        self,
        connection: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer one request; return whether the connection can be reused."""
        status = 400
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                async with asyncio.timeout(IDLE_TIMEOUT_S):
                    connection.receive_data(await reader.read(READ_BYTES))
            elif isinstance(event, h11.Request):
                status = self.choose_status(event)
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                return False
        headers = [("Content-Length", "0")]
        for response_event in (
            h11.Response(status_code=status, headers=headers),
            h11.EndOfMessage(),
        ):
            writer.write(connection.send(response_event) or b"")
        await writer.drain()
        return connection.our_state is h11.DONE

    def choose_status(self, request: h11.Request) -> int:
        """Return the HTTP status for a request."""
        if request.target.split(b"?")[0] != READY_TARGET:
            return 404
        return 200 if self.is_ready() else 503
