"""Accepts callers' connections and drains them at shutdown."""

from __future__ import annotations

import asyncio
from collections import Counter

from loguru import logger

from ebonyrack.core.clock import now_s
from ebonyrack.core.component import Component
from ebonyrack.core.line_stream import LineStream
from ebonyrack.core.tasks import end_tasks
from ebonyrack.core.tasks import start_loop
from ebonyrack.entry.caller_connection import CallerConnection
from ebonyrack.requests.codec import CallerCodec
from ebonyrack.routes.route import RouteTable
from ebonyrack.serving.services import Services

# Connections that may wait to be accepted; many callers may reconnect at once.
BACKLOG = 1024
# Interval between checks for transactions whose callers are idle too long.
IDLE_CHECK_INTERVAL_S = 0.25
# The load balancer takes a VM out after two failed probes, sent once a second.
BALANCER_REMOVAL_S = 2.2
# Part of the grace period that is reserved for the exit of the process.
EXIT_RESERVE_S = 0.7
DRAIN_CHECK_INTERVAL_S = 0.02


class Listener(Component):
    """Accepts callers on one address and serves each in a task of its own.

    Attributes:
        services: State shared by all sessions.
        codec: Protocol spoken with callers.
        server: The listening socket, or None until it is opened.
        connections: Callers' connections by the task that serves them.
        idle_task: Task that ends transactions of idle callers.
    """

    __slots__ = ("services", "codec", "server", "connections", "idle_task")

    def __init__(self, services: Services, codec: CallerCodec) -> None:
        self.services = services
        self.codec = codec
        self.server: asyncio.Server | None = None
        self.connections: dict[asyncio.Task[None], CallerConnection] = {}
        self.idle_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to listen and to check for idle transactions."""
        address = self.services.settings.caller_address
        self.server = await asyncio.get_running_loop().create_server(
            lambda: LineStream(self.accept),
            address.host,
            address.port,
            backlog=BACKLOG,
        )
        self.idle_task = start_loop(self.end_idle_transactions)
        self.services.routes.subscribe(self.end_withdrawn_sessions)

    async def stop(self) -> None:
        """Stop listening and cancel the sessions that are left."""
        if self.server is not None:
            self.server.close()
        await end_tasks([self.idle_task, *self.connections])

    def accept(self, stream: LineStream) -> None:
        """Start a task that serves a new connection."""
        connection = CallerConnection(self.services, self.codec, stream)
        task = asyncio.create_task(connection.serve())
        self.connections[task] = connection
        task.add_done_callback(self.handle_task_end)

    def handle_task_end(self, task: asyncio.Task[None]) -> None:
        """Remove the connection of a finished task; log the error of a failed one."""
        self.connections.pop(task, None)
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error("caller_task_failed")

    async def end_idle_transactions(self) -> None:
        """Roll back transactions whose callers are idle too long, until cancelled."""
        while True:
            await asyncio.sleep(IDLE_CHECK_INTERVAL_S)
            limit_s = self.services.routes.table.transaction_idle_s
            for connection in list(self.connections.values()):
                connection.end_idle_transaction(limit_s, "the caller was idle")

    def end_withdrawn_sessions(self, table: RouteTable) -> None:
        """End the work of sessions whose accounts a new version withdraws.

        Args:
            table: The version in force.
        """
        sessions: Counter[str] = Counter()
        for connection in list(self.connections.values()):
            if connection.end_if_withdrawn() and connection.session is not None:
                sessions[connection.session.identity.account] += 1
        for account, count in sessions.items():
            logger.bind(account=account, sessions=count, version=table.version).info(
                "account_withdrawn"
            )

    def close_idle_sessions(self) -> int:
        """Close sessions that are idle outside a transaction; return their number."""
        return sum(c.end_if_idle() for c in list(self.connections.values()))

    async def drain(self, grace_s: float) -> int:
        """Let callers finish their transactions and end their sessions.

        New callers are accepted until the load balancer has noticed the shutdown; from
        then on sessions end between requests. Open transactions may continue for the
        first half of the grace period.

        Args:
            grace_s: Seconds until the process is killed.

        Returns:
            Number of sessions that are still open and will be cut.
        """
        started_s = now_s()
        await asyncio.sleep(min(BALANCER_REMOVAL_S, grace_s / 2))
        if self.server is not None:
            self.server.close()
        while self.connections and now_s() < started_s + grace_s - EXIT_RESERVE_S:
            is_late = now_s() > started_s + grace_s / 2
            for connection in list(self.connections.values()):
                connection.close_when_idle()
                if is_late:
                    connection.end_idle_transaction(0.0, "the proxy shuts down")
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
        return len(self.connections)
