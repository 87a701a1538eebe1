"""After a long pause of the process: is the document in force still the newest?"""

from __future__ import annotations

import asyncio

from loguru import logger
from result import Ok

from ebonyrack.config.spread import FETCH_TIMEOUT_S
from ebonyrack.config.spread import DocumentSpread
from ebonyrack.config.stored import DOCUMENT_KEY
from ebonyrack.core.component import Component
from ebonyrack.core.settings import PeerSettings
from ebonyrack.core.tasks import end_tasks
from ebonyrack.peers.document_messages import AskDocument
from ebonyrack.peers.link import PeerLink
from ebonyrack.peers.link import PeerLostError
from ebonyrack.store.consul_store import ConsulStore

RETRY_S = 0.2
ASKED_PEERS = 3


class PauseVerification(Component):
    """Asks a peer or the store after a long pause: an async context manager.

    What was buffered before the pause proves nothing, so only the answer to a
    question that was asked after it counts.

    Attributes:
        settings: Pauses longer than the cut-off time are verified.
        spread: Passes revisions on between peers.
        store: The platform's store.
        is_verified: False from a long pause until an answer came.
    """

    __slots__ = ("settings", "spread", "store", "is_verified", "task")

    def __init__(
        self, settings: PeerSettings, spread: DocumentSpread, store: ConsulStore
    ) -> None:
        self.settings = settings
        self.spread = spread
        self.store = store
        self.is_verified = True
        self.task: asyncio.Task[None] | None = None
        spread.hub.pause_callbacks.append(self.notice_pause)

    async def stop(self) -> None:
        """End the verification that runs."""
        await end_tasks([self.task])

    def notice_pause(self, pause_s: float) -> None:
        """Start to verify after a long pause.

        Args:
            pause_s: Length of the pause in seconds.
        """
        if pause_s <= self.settings.cut_off_after_s:
            return
        self.is_verified = False
        if self.task is None or self.task.done():
            self.task = asyncio.create_task(self.verify())

    async def verify(self) -> None:
        """Ask until an answer comes."""
        while not await self.ask_anyone():
            await asyncio.sleep(RETRY_S)
        self.is_verified = True
        logger.bind(revision=self.spread.state.revision).info("document_verified")

    async def ask_anyone(self) -> bool:
        """Ask some peers, then the store; return whether any answered."""
        for link in list(self.spread.hub.links.values())[:ASKED_PEERS]:
            if await self.ask_peer(link):
                return True
        answer = await self.store.get(DOCUMENT_KEY)
        if not isinstance(answer, Ok):
            return False
        if answer.ok_value is not None:
            self.spread.state.offer_bytes(answer.ok_value.value, "store")
        return True

    async def ask_peer(self, link: PeerLink) -> bool:
        """Take over what a peer has; return whether it answered."""
        revision = self.spread.state.revision
        try:
            reply = await link.request(AskDocument(revision), FETCH_TIMEOUT_S)
            await self.spread.take_reply(link, reply)
        except PeerLostError:
            return False
        return True
