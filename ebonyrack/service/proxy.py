"""The proxy process: starts, connects and stops all components."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

from loguru import logger

from ebonyrack.callers.cancel import cancel_request
from ebonyrack.callers.listener import CallerListener
from ebonyrack.config.edit_handler import EditHandler
from ebonyrack.config.state import ConfigurationState
from ebonyrack.config.watch import ConfigurationWatch
from ebonyrack.core.component import Component
from ebonyrack.core.tasks import end_tasks
from ebonyrack.failover.pre_vote import PrimaryMessageHandler
from ebonyrack.failover.terms import TermSource
from ebonyrack.peers.hub import PeerHub
from ebonyrack.peers.session_messages import CancelSession
from ebonyrack.service.drain import Drain
from ebonyrack.service.group_table import GroupTable
from ebonyrack.service.operator_handler import OperatorHandler
from ebonyrack.service.services import Services
from ebonyrack.service.services import derive_token_key
from ebonyrack.store.consul_store import ConsulStore

if TYPE_CHECKING:
    from ebonyrack.core.settings import Settings
    from ebonyrack.peers.link import PeerLink


class Proxy(Component):
    """One proxy process: an async context manager that runs all components.

    Attributes:
        settings: Settings of the process.
        drain: Life cycle of the proxy.
        configuration: The operators' document in force.
        store: The platform's store.
        hub: Links to the other proxies.
        watch: Keeps the document and the VM list up to date.
        terms: Source of terms for ballots.
        services: Components that callers' sessions use.
        group_table: The database groups.
        listener: Accepts callers' connections.
        primary_messages: Handles peers' messages about primaries.
        operators: Handles operators' status requests and commands.
        edits: Handles operators' edits of the document.
        stack: Running components, in the order of their start.
        term_task: Reserves the term slot.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.drain = Drain()
        self.configuration = ConfigurationState()
        self.store = ConsulStore(settings.store)
        self.hub = PeerHub(settings)
        self.watch = ConfigurationWatch(
            settings, self.configuration, self.store, self.hub
        )
        self.terms = TermSource()
        self.services = Services(
            settings=settings,
            configuration=self.configuration,
            membership=self.hub.membership,
            drain=self.drain,
            token_key=derive_token_key(settings.peers.secret),
            is_cut_off=lambda: self.watch.is_cut_off,
            forward_cancel=self.forward_cancel,
        )
        self.group_table = GroupTable(self.services, self.terms, self.hub, self.watch)
        self.listener = CallerListener(self.services)
        self.primary_messages = PrimaryMessageHandler(self.hub, self.services.groups)
        self.operators = OperatorHandler(self)
        self.hub.register_handler(CancelSession, self.receive_cancel)
        self.edits = EditHandler(self.configuration, self.store, self.hub)
        self.stack = AsyncExitStack()
        self.term_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start all components except the listener."""
        await self.stack.enter_async_context(self.store)
        await self.stack.enter_async_context(self.hub)
        await self.stack.enter_async_context(self.watch)
        await self.stack.enter_async_context(self.group_table)
        self.term_task = asyncio.create_task(self.terms.reserve(self.store))

    async def stop(self) -> None:
        """Stop all components."""
        await end_tasks([self.term_task])
        await self.stack.aclose()

    async def serve(self) -> int:
        """Serve callers until a shutdown is requested, then drain.

        Returns:
            The number of requests that the shutdown cut.
        """
        if not await self.wait_for_document():
            self.drain.finish()
            return 0
        async with self.listener:
            self.drain.serve()
            logger.bind(
                address=str(self.settings.proxy.caller_address),
                revision=self.configuration.revision,
            ).info("proxy_serving")
            await self.drain.requested.wait()
            return await self.shut_down()

    def forward_cancel(self, number: int, secret_key: bytes) -> None:
        """Forward a cancel request to the peers; the one with the session acts on it.

        Args:
            number: Number of the session.
            secret_key: Secret key in the request.
        """
        self.hub.broadcast(CancelSession(number, secret_key))

    async def receive_cancel(self, link: PeerLink, message: CancelSession) -> None:
        """Handle a cancel request that reached another proxy.

        Args:
            link: Link on which it arrived.
            message: The request.
        """
        sessions = self.listener.sessions
        await cancel_request(sessions, message.number, message.secret_key)

    async def wait_for_document(self) -> bool:
        """Wait until a document is in force.

        The listener is closed until then, so the load balancer sends no callers here.

        Returns:
            Whether there is one; False if a shutdown was requested first.
        """
        in_force = asyncio.Event()
        self.configuration.subscribe(lambda document: in_force.set())
        if self.configuration.revision > 0:
            return True
        waits = [
            asyncio.create_task(in_force.wait()),
            asyncio.create_task(self.drain.requested.wait()),
        ]
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()
        return in_force.is_set()

    async def shut_down(self) -> int:
        """Finish running work and reject new work.

        Returns:
            The number of requests that were cut.
        """
        await self.hub.announce_leaving()
        cut_requests = await self.listener.drain(self.settings.proxy.drain_limit_s)
        self.drain.finish()
        logger.bind(cut_requests=cut_requests).info("proxy_drained")
        return cut_requests
