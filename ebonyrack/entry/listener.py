"""Takes callers' connections and ends them at a shutdown."""

from __future__ import annotations

import asyncio

from loguru import logger

from ebonyrack.core.clock import now_s
from ebonyrack.core.component import Component
from ebonyrack.core.line_stream import LineStream
from ebonyrack.core.tasks import end_tasks
from ebonyrack.core.tasks import start_loop
from ebonyrack.entry.caller_connection import CallerConnection
from ebonyrack.requests.codec import CallerCodec
from ebonyrack.serving.services import Services

# Connections that wait to be accepted; a herd of callers may return at once.
BACKLOG = 1024
# Between two looks for transactions whose callers are idle too long.
IDLE_LOOK_S = 0.25
# The balancer takes a VM out after two questions without a yes, one each second.
BALANCER_NOTICE_S = 2.2
# Kept of the grace time for the end of the process itself.
EXIT_RESERVE_S = 0.7
DRAIN_LOOK_S = 0.02


class Listener(Component):
    """Serves callers on one address.

    Attributes:
        services: What all sessions share.
        codec: Protocol of callers.
        server: The listening socket, while open.
        connections: Callers with their tasks.
        idle_task: Ends transactions of idle callers.
    """

    __slots__ = ("services", "codec", "server", "connections", "idle_task")

    def __init__(self, services: Services, codec: CallerCodec) -> None:
        self.services = services
        self.codec = codec
        self.server: asyncio.Server | None = None
        self.connections: dict[asyncio.Task[None], CallerConnection] = {}
        self.idle_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen."""
        address = self.services.settings.caller_address
        self.server = await asyncio.get_running_loop().create_server(
            lambda: LineStream(self.accept),
            address.host,
            address.port,
            backlog=BACKLOG,
        )
        self.idle_task = start_loop(self.watch_idle)

    async def stop(self) -> None:
        """Stop listening and cut what still runs."""
        if self.server is not None:
            self.server.close()
        await end_tasks([self.idle_task, *self.connections])

    def accept(self, stream: LineStream) -> None:
        """Start the task of a new caller."""
        connection = CallerConnection(self.services, self.codec, stream)
        task = asyncio.create_task(connection.serve())
        self.connections[task] = connection
        task.add_done_callback(self.note_ended)

    def note_ended(self, task: asyncio.Task[None]) -> None:
        """Forget a caller; a task that broke is logged."""
        self.connections.pop(task, None)
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error("caller_task_failed")

    async def watch_idle(self) -> None:
        """End transactions whose callers are idle too long, until cancelled."""
        while True:
            await asyncio.sleep(IDLE_LOOK_S)
            limit_s = self.services.routes.table.transaction_idle_s
            for connection in list(self.connections.values()):
                connection.end_idle_transaction(limit_s, "the caller was idle")

    def shed_idle(self) -> int:
        """End the sessions that wait for a request; return how many there were."""
        return sum(c.end_if_idle() for c in list(self.connections.values()))

    async def drain(self, grace_s: float) -> int:
        """Let callers finish and end their sessions.

        New callers are served until the balancer has noticed; then sessions end
        between requests. Open transactions have the first half of the time.

        Args:
            grace_s: Seconds until the process is killed.

        Returns:
            Number of sessions that were cut.
        """
        started_s = now_s()
        await asyncio.sleep(min(BALANCER_NOTICE_S, grace_s / 2))
        if self.server is not None:
            self.server.close()
        while self.connections and now_s() < started_s + grace_s - EXIT_RESERVE_S:
            is_late = now_s() > started_s + grace_s / 2
            for connection in list(self.connections.values()):
                connection.close_when_idle()
                if is_late:
                    connection.end_idle_transaction(0.0, "the proxy shuts down")
            await asyncio.sleep(DRAIN_LOOK_S)
        return len(self.connections)
