"""Propagation of the document's revisions between proxies."""

from __future__ import annotations

import asyncio

from loguru import logger

from ebonyrack.config.document import Document
from ebonyrack.config.state import ConfigurationState
from ebonyrack.config.stored import EditRecord
from ebonyrack.config.stored import StoredDocument
from ebonyrack.config.stored import decode_record
from ebonyrack.config.stored import encode_record
from ebonyrack.config.stored import pack_stored
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
from ebonyrack.peers.member_messages import Heartbeat
from ebonyrack.peers.message import Message
from ebonyrack.peers.request_link import PeerLostError

FETCH_TIMEOUT_S = 2.0


class DocumentPropagation:
    """Announces new revisions to peers and fetches those that peers announce.

    Attributes:
        state: The document in force.
        hub: Links to the peers.
        fetch_lock: Held while the document is fetched from a peer.
    """

    __slots__ = ("state", "hub", "fetch_lock")

    def __init__(self, state: ConfigurationState, hub: PeerHub) -> None:
        self.state = state
        self.hub = hub
        self.fetch_lock = asyncio.Lock()
        state.subscribe(self.announce_revision)
        hub.register_handler(DocumentNews, self.receive_news)
        hub.register_handler(Heartbeat, self.receive_heartbeat)
        hub.register_handler(AskDocument, self.receive_document_request)

    def announce_revision(self, document: Document) -> None:
        """Announce a revision that came into force here to the linked peers.

        Each of them does the same when it runs the revision, so it reaches all.
        """
        self.hub.revision = document.revision
        self.hub.send_to_links(DocumentNews(document.revision), None)

    async def receive_news(self, link: PeerLink, news: DocumentNews) -> None:
        """Fetch a revision that a peer announces."""
        await self.fetch(link, news.revision)

    async def receive_heartbeat(self, link: PeerLink, heartbeat: Heartbeat) -> None:
        """Fetch the revision in a peer's heartbeat."""
        # Heartbeats repeat, so none needs to wait for a running fetch.
        if not self.fetch_lock.locked():
            await self.fetch(link, heartbeat.revision)

    def should_fetch(self, revision: int) -> bool:
        """Return whether a revision is newer than the current and rejected ones."""
        return revision > max(self.state.revision, self.state.rejected_revision)

    async def fetch(self, link: PeerLink, revision: int) -> None:
        """Fetch the document from a peer if its revision is newer.

        Only one fetch runs at a time; when it ends, most waiting ones are obsolete.

        Args:
            link: Link to the peer that announced the revision.
            revision: Revision that the peer announced.
        """
        if not self.should_fetch(revision):
            return
        async with self.fetch_lock:
            if self.should_fetch(revision):
                await self.fetch_now(link)

    async def fetch_now(self, link: PeerLink) -> None:
        """Request what a peer has above the current revision."""
        try:
            reply = await link.request(
                AskDocument(self.state.revision), FETCH_TIMEOUT_S
            )
            await self.apply_reply(link, reply)
        except PeerLostError as error:
            logger.bind(peer=link.member.name, reason=error.reason).warning(
                "document_not_fetched"
            )

    async def apply_reply(self, link: PeerLink, reply: Message) -> None:
        """Apply the document or the changes in a peer's reply.

        Raises:
            PeerLostError: If the whole document is needed and the peer is lost.
        """
        if isinstance(reply, ChangesReply) and not self.apply_changes_reply(
            link, reply
        ):
            # The changes don't apply here, so the whole document is needed.
            reply = await link.request(AskDocument(0), FETCH_TIMEOUT_S)
        if isinstance(reply, DocumentReply) and reply.stored:
            self.state.apply_bytes_if_newer(reply.stored, link.member.name)

    def apply_changes_reply(self, link: PeerLink, reply: ChangesReply) -> bool:
        """Apply a peer's changes to the current document.

        Args:
            link: Link on which they arrived.
            reply: The changes.

        Returns:
            False if the changes don't apply and the whole document is needed.
        """
        current = self.state.stored
        if current.revision != reply.base_revision:
            return current.revision >= reply.revision
        text = apply_changes(current.text, reply.changes)
        if compute_digest(text) != reply.digest:
            return False
        try:
            edits = tuple(map(decode_record, reply.history))
        except (TypeError, ValueError):
            return False
        history = trim_history((*current.history, *edits))
        stored = StoredDocument(reply.revision, text, history)
        self.state.apply_if_newer(stored, link.member.name)
        return True

    async def receive_document_request(
        self, link: PeerLink, message: AskDocument
    ) -> Message:
        """Reply with the changes since a revision or with the whole document."""
        stored = self.state.stored
        if message.above_revision >= stored.revision:
            return DocumentReply(stored.revision, b"")
        if message.above_revision == 0 or not stored.covers_edits_after(
            message.above_revision
        ):
            return DocumentReply(stored.revision, pack_stored(stored))
        return build_changes_reply(stored, message.above_revision)


def build_changes_reply(stored: StoredDocument, base_revision: int) -> ChangesReply:
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
        history=[encode_record(edit) for edit in edits],
        digest=compute_digest(stored.text),
    )
