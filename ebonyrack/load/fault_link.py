"""A TCP relay in front of an upstream that delays, resets or stalls connections."""

from __future__ import annotations

import asyncio
import contextlib

from ebonyrack.core.address import Address
from ebonyrack.core.component import Component
from ebonyrack.core.tasks import end_tasks
from ebonyrack.standins.line_upstream import LineUpstream

READ_BYTES = 65536
HOLD_POLL_S = 0.01


class FaultLink(Component):
    """Forwards bytes between proxies and one upstream.

    Attributes:
        upstream: The upstream.
        address: Address at which it listens in place of the upstream.
        delay_s: Delay added to each chunk of bytes, in seconds.
        holds_requests: Whether bytes towards the upstream are held back.
        holds_replies: Whether bytes from the upstream are held back.
        server: The listening server, or None before the start.
        tasks: Tasks of the connections.
        writers: Writers of both sides of the connections.
    """

    __slots__ = (
        "upstream",
        "address",
        "delay_s",
        "holds_requests",
        "holds_replies",
        "server",
        "tasks",
        "writers",
    )

    def __init__(self, upstream: LineUpstream) -> None:
        self.upstream = upstream
        self.address = Address("127.0.0.1", 0)
        self.delay_s = 0.0
        self.holds_requests = False
        self.holds_replies = False
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start listening."""
        self.server = await asyncio.start_server(self.serve, self.address.host, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = Address(self.address.host, port)

    async def stop(self) -> None:
        """Stop listening and abort the connections."""
        if self.server is not None:
            self.server.close()
        self.reset()
        await end_tasks(list(self.tasks))

    def reset(self) -> None:
        """Abort every connection."""
        for writer in self.writers:
            writer.transport.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection in both directions until it ends."""
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        ends = {writer}
        try:
            address = self.upstream.address
            with contextlib.suppress(OSError):
                upstream_reader, upstream_writer = await asyncio.open_connection(
                    address.host, address.port
                )
                ends.add(upstream_writer)
                self.writers |= ends
                await asyncio.gather(
                    self.forward(reader, upstream_writer, towards_upstream=True),
                    self.forward(upstream_reader, writer, towards_upstream=False),
                )
        finally:
            self.writers -= ends
            for end in ends:
                end.transport.abort()
            self.tasks.discard(task)

    async def forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        towards_upstream: bool,
    ) -> None:
        """Forward bytes in one direction until the connection ends."""
        while data := await reader.read(READ_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            while self.holds_requests if towards_upstream else self.holds_replies:
                await asyncio.sleep(HOLD_POLL_S)
            writer.write(data)
        writer.transport.abort()
