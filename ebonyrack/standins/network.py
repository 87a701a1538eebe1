"""Links that can be cut, between the sites of proxies in one event loop."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from contextvars import ContextVar
from typing import Any

from ebonyrack.core.component import Component
from ebonyrack.core.tasks import end_tasks

READ_BYTES = 65536

# Site that opens connections; a proxy's tasks inherit it from the task that starts it.
DIALLING_SITE: ContextVar[str] = ContextVar("DIALLING_SITE", default="")

Dial = Callable[..., Any]


class Network(Component):
    """Relays connections that proxies open between sites: an async context manager.

    A cut link queues its bytes and the end of a stream and delivers them after it is
    healed, as TCP does; new connections over it wait. Only connections opened by a
    task with a site are relayed, so upstreams and callers are not affected.

    Attributes:
        site_by_port: Site of each listener by its port.
        cut_pairs: Pairs of sites whose link is cut.
        changed: Event that is set and replaced at each change of the cuts.
        tasks: Tasks that relay bytes.
        dial: The event loop's original `create_connection`.
    """

    def __init__(self) -> None:
        self.site_by_port: dict[int, str] = {}
        self.cut_pairs: set[frozenset[str]] = set()
        self.changed = asyncio.Event()
        self.tasks: set[asyncio.Task[None]] = set()
        self.dial: Dial = asyncio.get_running_loop().create_connection

    async def start(self) -> None:
        """Replace the event loop's `create_connection`."""
        loop: Any = asyncio.get_running_loop()
        loop.create_connection = self.create_connection

    async def stop(self) -> None:
        """Restore the event loop's `create_connection`."""
        loop: Any = asyncio.get_running_loop()
        del loop.create_connection
        await end_tasks(self.tasks)

    def set_cuts(self, *pairs: tuple[str, str]) -> None:
        """Cut the links between pairs of sites, and heal all others."""
        self.cut_pairs = {frozenset(pair) for pair in pairs}
        self.changed.set()
        self.changed = asyncio.Event()

    async def wait_until_open(self, site: str, port: int) -> None:
        """Wait until bytes can pass between a site and a listener."""
        while frozenset((site, self.site_by_port.get(port, site))) in self.cut_pairs:
            await self.changed.wait()

    async def create_connection(
        self,
        factory: Callable[[], asyncio.BaseProtocol],
        host: str | None = None,
        port: int | None = None,
        **options: Any,
    ) -> tuple[asyncio.Transport, asyncio.BaseProtocol]:
        """Connect as the event loop does, over a link that can be cut."""
        site = DIALLING_SITE.get()
        if not site or port is None:
            return await self.dial(factory, host, port, **options)
        await self.wait_until_open(site, port)
        far = await self.open_stream(host=host, port=port)
        near_end, link_end = socket.socketpair()
        near = await self.open_stream(sock=link_end)
        self.start_relay(near[0], far[1], site, port)
        self.start_relay(far[0], near[1], site, port)
        return await self.dial(factory, sock=near_end)

    async def open_stream(
        self, **options: Any
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect directly, without a link."""
        reader = asyncio.StreamReader()
        protocol = asyncio.StreamReaderProtocol(reader)
        transport, _ = await self.dial(lambda: protocol, **options)
        loop = asyncio.get_running_loop()
        return reader, asyncio.StreamWriter(transport, protocol, reader, loop)

    def start_relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        site: str,
        port: int,
    ) -> None:
        """Start the task that relays one direction of a connection."""
        task = asyncio.create_task(self.relay(reader, writer, site, port))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        site: str,
        port: int,
    ) -> None:
        """Relay bytes while the link isn't cut, until the stream ends."""
        try:
            while data := await reader.read(READ_BYTES):
                await self.wait_until_open(site, port)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            await self.wait_until_open(site, port)
            writer.close()
