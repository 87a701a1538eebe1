"""A loopback proxy before an upstream that delays, resets or silences connections."""

from __future__ import annotations

import asyncio
import contextlib

from ebonyrack.core.address import Address
from ebonyrack.core.component import Component
from ebonyrack.core.tasks import end_tasks
from ebonyrack.standins.line_upstream import LineUpstream

READ_BYTES = 65536
HOLD_PAUSE_S = 0.01


class FaultLink(Component):
    """Passes bytes on between proxies and one upstream.

    Attributes:
        upstream: The upstream.
        address: Where it listens, in place of the upstream.
        delay_s: How late bytes are passed on.
        holds_requests: Whether bytes towards the upstream are held back.
        holds_answers: Whether bytes from the upstream are held back.
        server: The listening socket, while open.
        tasks: Tasks of the connections.
        writers: Both ends of the connections.
    """

    __slots__ = (
        "upstream",
        "address",
        "delay_s",
        "holds_requests",
        "holds_answers",
        "server",
        "tasks",
        "writers",
    )

    def __init__(self, upstream: LineUpstream) -> None:
        self.upstream = upstream
        self.address = Address("127.0.0.1", 0)
        self.delay_s = 0.0
        self.holds_requests = False
        self.holds_answers = False
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self.serve, self.address.host, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = Address(self.address.host, port)

    async def stop(self) -> None:
        """Stop listening and drop the connections."""
        if self.server is not None:
            self.server.close()
        self.reset()
        await end_tasks(list(self.tasks))

    def reset(self) -> None:
        """Reset every connection."""
        for writer in self.writers:
            writer.transport.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        ends = {writer}
        try:
            address = self.upstream.address
            with contextlib.suppress(OSError):
                far_reader, far_writer = await asyncio.open_connection(
                    address.host, address.port
                )
                ends.add(far_writer)
                self.writers |= ends
                await asyncio.gather(
                    self.pass_on(reader, far_writer, towards_upstream=True),
                    self.pass_on(far_reader, writer, towards_upstream=False),
                )
        finally:
            self.writers -= ends
            for end in ends:
                end.transport.abort()
            self.tasks.discard(task)

    async def pass_on(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        towards_upstream: bool,
    ) -> None:
        """Pass bytes on in one direction until the connection ends."""
        while data := await reader.read(READ_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            while self.holds_requests if towards_upstream else self.holds_answers:
                await asyncio.sleep(HOLD_PAUSE_S)
            writer.write(data)
        writer.transport.abort()
