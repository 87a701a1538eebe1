"""Verification of the document in force after a long pause of the process."""

from __future__ import annotations

import asyncio

from loguru import logger
from result import Ok

from ebonyrack.config.propagation import FETCH_TIMEOUT_S
from ebonyrack.config.propagation import DocumentPropagation
from ebonyrack.config.stored import DOCUMENT_KEY
from ebonyrack.core.component import Component
from ebonyrack.core.settings import PeerSettings
from ebonyrack.core.tasks import end_tasks
from ebonyrack.peers.document_messages import AskDocument
from ebonyrack.peers.link import PeerLink
from ebonyrack.peers.request_link import PeerLostError
from ebonyrack.store.consul_store import ConsulStore

RETRY_DELAY_S = 0.2
QUERIED_PEERS = 3


class PauseVerification(Component):
    """Queries a peer or the store after a long pause: an async context manager.

    Data that was buffered before the pause proves nothing, so only the reply to a
    request that was sent after it counts.

    Attributes:
        settings: Settings with the cut-off time; longer pauses are verified.
        propagation: Fetches revisions from peers.
        store: The platform's store.
        is_verified: False from a long pause until a reply arrives.
    """

    __slots__ = ("settings", "propagation", "store", "is_verified", "task")

    def __init__(
        self,
        settings: PeerSettings,
        propagation: DocumentPropagation,
        store: ConsulStore,
    ) -> None:
        self.settings = settings
        self.propagation = propagation
        self.store = store
        self.is_verified = True
        self.task: asyncio.Task[None] | None = None
        propagation.hub.pause_callbacks.append(self.handle_pause)

    async def stop(self) -> None:
        """Cancel a running verification."""
        await end_tasks([self.task])

    def handle_pause(self, pause_s: float) -> None:
        """Start a verification after a long pause.

        Args:
            pause_s: Length of the pause in seconds.
        """
        if pause_s <= self.settings.cut_off_after_s:
            return
        self.is_verified = False
        if self.task is None or self.task.done():
            self.task = asyncio.create_task(self.verify())

    async def verify(self) -> None:
        """Query peers and the store until one replies."""
        while not await self.query_peers_or_store():
            await asyncio.sleep(RETRY_DELAY_S)
        self.is_verified = True
        logger.bind(revision=self.propagation.state.revision).info("document_verified")

    async def query_peers_or_store(self) -> bool:
        """Query some peers, then the store; return whether any replied."""
        for link in list(self.propagation.hub.links.values())[:QUERIED_PEERS]:
            if await self.query_peer(link):
                return True
        answer = await self.store.get(DOCUMENT_KEY)
        if not isinstance(answer, Ok):
            return False
        if answer.ok_value is not None:
            self.propagation.state.apply_bytes_if_newer(answer.ok_value.value, "store")
        return True

    async def query_peer(self, link: PeerLink) -> bool:
        """Apply a peer's newer revision, if any; return whether the peer replied."""
        revision = self.propagation.state.revision
        try:
            reply = await link.request(AskDocument(revision), FETCH_TIMEOUT_S)
            await self.propagation.apply_reply(link, reply)
        except PeerLostError:
            return False
        return True
