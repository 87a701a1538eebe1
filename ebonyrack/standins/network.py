"""Links between the places of one event loop's proxies, which can be cut."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from contextvars import ContextVar
from typing import Any

from ebonyrack.core.component import Component
from ebonyrack.core.tasks import end_tasks

READ_BYTES = 65536

# A proxy's tasks inherit this from the task that starts it.
DIALLING_SITE: ContextVar[str] = ContextVar("DIALLING_SITE", default="")

Dial = Callable[..., Any]


class Network(Component):
    """Carries what proxies dial, place by place: an async context manager.

    A cut link keeps its bytes, the end of a stream too, and delivers them after it
    heals, as TCP does; new connections over it wait. Only connections that a task
    opens within a place are carried, so upstreams and callers are not affected.

    Attributes:
        site_by_port: Site of each listener by its port.
        cut_pairs: Pairs of places between which nothing passes.
        changed: Set at each change of the cuts, then replaced.
        tasks: Tasks that carry bytes.
        dial: The event loop's own way to connect.
    """

    def __init__(self) -> None:
        self.site_by_port: dict[int, str] = {}
        self.cut_pairs: set[frozenset[str]] = set()
        self.changed = asyncio.Event()
        self.tasks: set[asyncio.Task[None]] = set()
        self.dial: Dial = asyncio.get_running_loop().create_connection

    async def start(self) -> None:
        """Take over the event loop's outgoing connections."""
        loop: Any = asyncio.get_running_loop()
        loop.create_connection = self.create_connection

    async def stop(self) -> None:
        """Give the event loop its own connections back."""
        loop: Any = asyncio.get_running_loop()
        del loop.create_connection
        await end_tasks(self.tasks)

    def set_cuts(self, *pairs: tuple[str, str]) -> None:
        """Cut the links between pairs of places, and heal all others."""
        self.cut_pairs = {frozenset(pair) for pair in pairs}
        self.changed.set()
        self.changed = asyncio.Event()

    async def wait_open(self, place: str, port: int) -> None:
        """Return once bytes pass between a place and a listener."""
        while frozenset((place, self.site_by_port.get(port, place))) in self.cut_pairs:
            await self.changed.wait()

    async def create_connection(
        self,
        factory: Callable[[], asyncio.BaseProtocol],
        host: str | None = None,
        port: int | None = None,
        **options: Any,
    ) -> tuple[asyncio.Transport, asyncio.BaseProtocol]:
        """Connect as the event loop does, by way of a link that can be cut."""
        place = DIALLING_SITE.get()
        if not place or port is None:
            return await self.dial(factory, host, port, **options)
        await self.wait_open(place, port)
        far = await self.open_stream(host=host, port=port)
        near_end, link_end = socket.socketpair()
        near = await self.open_stream(sock=link_end)
        self.carry(near[0], far[1], place, port)
        self.carry(far[0], near[1], place, port)
        return await self.dial(factory, sock=near_end)

    async def open_stream(
        self, **options: Any
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect without a link."""
        reader = asyncio.StreamReader()
        protocol = asyncio.StreamReaderProtocol(reader)
        transport, _ = await self.dial(lambda: protocol, **options)
        loop = asyncio.get_running_loop()
        return reader, asyncio.StreamWriter(transport, protocol, reader, loop)

    def carry(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        place: str,
        port: int,
    ) -> None:
        """Start the task that carries one direction of a connection."""
        task = asyncio.create_task(self.pump(reader, writer, place, port))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        place: str,
        port: int,
    ) -> None:
        """Carry bytes while the link lets them through, until the stream ends."""
        try:
            while data := await reader.read(READ_BYTES):
                await self.wait_open(place, port)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            await self.wait_open(place, port)
            writer.close()
