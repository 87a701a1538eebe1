"""Passing revisions of the document on between proxies."""

from __future__ import annotations

import asyncio

from loguru import logger

from ebonyrack.config.document import Document
from ebonyrack.config.state import ConfigurationState
from ebonyrack.config.stored import EditRecord
from ebonyrack.config.stored import StoredDocument
from ebonyrack.config.stored import list_record
from ebonyrack.config.stored import pack_stored
from ebonyrack.config.stored import read_record
from ebonyrack.config.stored import trim_history
from ebonyrack.config.text import apply_changes
from ebonyrack.config.text import compute_digest
from ebonyrack.config.text import split_sections
from ebonyrack.peers.document_messages import AskDocument
from ebonyrack.peers.document_messages import ChangesReply
from ebonyrack.peers.document_messages import DocumentNews
from ebonyrack.peers.document_messages import DocumentReply
from ebonyrack.peers.hub import PeerHub
from ebonyrack.peers.link import PeerLink
from ebonyrack.peers.link import PeerLostError
from ebonyrack.peers.member_messages import Heartbeat
from ebonyrack.peers.message import Message

FETCH_TIMEOUT_S = 2.0


class DocumentSpread:
    """Tells peers of new revisions and fetches those that peers have.

    Attributes:
        state: The document in force.
        hub: Links to the peers.
        fetching: Held while a peer is being asked.
    """

    __slots__ = ("state", "hub", "fetching")

    def __init__(self, state: ConfigurationState, hub: PeerHub) -> None:
        self.state = state
        self.hub = hub
        self.fetching = asyncio.Lock()
        state.subscribe(self.tell_peers)
        hub.register_handler(DocumentNews, self.receive_news)
        hub.register_handler(Heartbeat, self.receive_heartbeat)
        hub.register_handler(AskDocument, self.receive_ask)

    def tell_peers(self, document: Document) -> None:
        """Tell the linked peers of a revision that came into force here.

        Each of them does the same when it runs the revision, so it reaches all.
        """
        self.hub.revision = document.revision
        self.hub.send_to_links(DocumentNews(document.revision), None)

    async def receive_news(self, link: PeerLink, news: DocumentNews) -> None:
        """Fetch a revision that a peer tells of."""
        await self.fetch(link, news.revision)

    async def receive_heartbeat(self, link: PeerLink, heartbeat: Heartbeat) -> None:
        """Fetch a revision that a peer's heartbeat names."""
        # Heartbeats repeat, so none needs to wait for a fetch that is running.
        if not self.fetching.locked():
            await self.fetch(link, heartbeat.revision)

    def is_wanted(self, revision: int) -> bool:
        """Tell whether a revision is higher than the present one and readable."""
        return revision > max(self.state.revision, self.state.rejected_revision)

    async def fetch(self, link: PeerLink, revision: int) -> None:
        """Ask a peer for the document if its revision is higher.

        One fetch runs at a time; when it ends, most that waited need none.

        Args:
            link: Link to a peer that has or passed on the news.
            revision: Revision that the peer named.
        """
        if not self.is_wanted(revision):
            return
        async with self.fetching:
            if self.is_wanted(revision):
                await self.fetch_now(link)

    async def fetch_now(self, link: PeerLink) -> None:
        """Ask a peer for what it has above the present revision."""
        try:
            reply = await link.request(
                AskDocument(self.state.revision), FETCH_TIMEOUT_S
            )
            await self.take_reply(link, reply)
        except PeerLostError as error:
            logger.bind(peer=link.member.name, reason=error.reason).warning(
                "document_not_fetched"
            )

    async def take_reply(self, link: PeerLink, reply: Message) -> None:
        """Take over the document or the changes that a peer answered.

        Raises:
            PeerLostError: If the whole document is needed and the peer is lost.
        """
        if isinstance(reply, ChangesReply) and not self.take_changes(link, reply):
            # The changes didn't fit, so the whole document is needed.
            reply = await link.request(AskDocument(0), FETCH_TIMEOUT_S)
        if isinstance(reply, DocumentReply) and reply.stored:
            self.state.offer_bytes(reply.stored, link.member.name)

    def take_changes(self, link: PeerLink, reply: ChangesReply) -> bool:
        """Apply changes to the present document.

        Args:
            link: Where they came from.
            reply: The changes.

        Returns:
            Whether they led to the text that the peer has.
        """
        present = self.state.stored
        if present.revision != reply.base_revision:
            return present.revision >= reply.revision
        text = apply_changes(present.text, reply.changes)
        if compute_digest(text) != reply.digest:
            return False
        try:
            edits = tuple(map(read_record, reply.history))
        except (TypeError, ValueError):
            return False
        history = trim_history((*present.history, *edits))
        stored = StoredDocument(reply.revision, text, history)
        self.state.offer(stored, link.member.name)
        return True

    async def receive_ask(self, link: PeerLink, message: AskDocument) -> Message:
        """Answer with the changes since a revision, or with the whole document."""
        stored = self.state.stored
        if message.above_revision >= stored.revision:
            return DocumentReply(stored.revision, b"")
        if message.above_revision == 0 or not stored.reaches_back_to(
            message.above_revision
        ):
            return DocumentReply(stored.revision, pack_stored(stored))
        return build_changes(stored, message.above_revision)


def build_changes(stored: StoredDocument, base_revision: int) -> ChangesReply:
    """Build the changes from an earlier revision to a stored one.

    Args:
        stored: The newer document; its history reaches back to the earlier one.
        base_revision: The earlier revision.

    Returns:
        The changes.
    """
    edits: list[EditRecord] = [
        edit for edit in stored.history if edit.revision > base_revision
    ]
    titles = dict.fromkeys(title for edit in edits for title in edit.sections)
    sections = split_sections(stored.text)
    return ChangesReply(
        base_revision=base_revision,
        revision=stored.revision,
        changes={title: sections.get(title) for title in titles},
        history=[list_record(edit) for edit in edits],
        digest=compute_digest(stored.text),
    )
