"""Handling of operators' edits and of queries for the running revisions."""

from __future__ import annotations

import asyncio

from loguru import logger

from ebonyrack.config.authentication import OperatorAuthentication
from ebonyrack.config.edit import Accepted
from ebonyrack.config.edit import Edit
from ebonyrack.config.edit import NotAccepted
from ebonyrack.config.edit import Outcome
from ebonyrack.config.edit import Refused
from ebonyrack.config.edit_attempt import EditAttempt
from ebonyrack.config.state import ConfigurationState
from ebonyrack.core.clock import now_s
from ebonyrack.peers.document_messages import AskDocument
from ebonyrack.peers.document_messages import DocumentReply
from ebonyrack.peers.edit_messages import AskRevisions
from ebonyrack.peers.edit_messages import EditReply
from ebonyrack.peers.edit_messages import EditRequest
from ebonyrack.peers.edit_messages import RevisionsReply
from ebonyrack.peers.hub import PeerHub
from ebonyrack.peers.link import PeerLink
from ebonyrack.peers.member import Member
from ebonyrack.peers.message import Message
from ebonyrack.peers.request_link import PeerLostError
from ebonyrack.store.consul_store import ConsulStore

MAXIMUM_EDIT_TIMEOUT_S = 60.0
MAXIMUM_CONCURRENT_EDITS = 8
MAXIMUM_CONCURRENT_QUERIES = 16
QUERY_TIMEOUT_S = 2.0
# Higher than any revision, so that a peer replies with its revision only.
ABOVE_ALL_REVISIONS = 2**62


class EditHandler:
    """Handles the operators' messages about the document in one proxy.

    Attributes:
        state: The document in force.
        store: The platform's store.
        hub: Links to the peers and operators.
        edit_slots: Limits the edits that run concurrently.
        authentication: Authenticates the operators of links.
    """

    __slots__ = ("state", "store", "hub", "edit_slots", "authentication")

    def __init__(
        self, state: ConfigurationState, store: ConsulStore, hub: PeerHub
    ) -> None:
        self.state = state
        self.store = store
        self.hub = hub
        self.edit_slots = asyncio.Semaphore(MAXIMUM_CONCURRENT_EDITS)
        self.authentication = OperatorAuthentication(state, hub)
        hub.register_handler(EditRequest, self.receive_edit_request)
        hub.register_handler(AskRevisions, self.receive_revisions_request)

    async def receive_edit_request(
        self, link: PeerLink, message: EditRequest
    ) -> Message:
        """Attempt an operator's edit and reply with its outcome."""
        if not self.authentication.is_authenticated(link, message.operator):
            reason = f"operator {message.operator!r} is not authenticated"
            return EditReply("refused", reasons=(reason,))
        edit = Edit(
            message.edit_id,
            message.operator,
            message.base_revision,
            message.changes,
            message.expected,
            message.is_repeat,
        )
        deadline_s = now_s() + min(message.limit_s, MAXIMUM_EDIT_TIMEOUT_S)
        async with self.edit_slots:
            attempt = EditAttempt(self.store, self.state, edit, deadline_s)
            outcome = await attempt.run()
        log_outcome(edit, outcome)
        return build_reply(outcome)

    async def receive_revisions_request(
        self, link: PeerLink, message: AskRevisions
    ) -> RevisionsReply:
        """Query all live proxies for the revision that they run."""
        slots = asyncio.Semaphore(MAXIMUM_CONCURRENT_QUERIES)
        members = self.hub.membership.live_members()
        revisions = await asyncio.gather(
            *(self.query_revision(member, slots) for member in members)
        )
        names = [member.name for member in members]
        return RevisionsReply(dict(zip(names, revisions, strict=True)))

    async def query_revision(self, member: Member, slots: asyncio.Semaphore) -> int:
        """Return the revision that a proxy runs, 0 if it can't be reached."""
        if member.name == self.hub.membership.local.name:
            return self.state.revision
        async with slots:
            try:
                reply = await self.hub.request(
                    member.name, AskDocument(ABOVE_ALL_REVISIONS), QUERY_TIMEOUT_S
                )
            except PeerLostError:
                return 0
        return reply.revision if isinstance(reply, DocumentReply) else 0


def log_outcome(edit: Edit, outcome: Outcome) -> None:
    """Log the outcome of an edit."""
    logger.bind(
        edit_id=edit.edit_id,
        operator=edit.operator,
        base_revision=edit.base_revision,
        sections=sorted(edit.changes),
        outcome=str(outcome),
    ).info("edit_ended")


def build_reply(outcome: Outcome) -> EditReply:
    """Build the reply with the outcome of an edit."""
    if isinstance(outcome, Accepted):
        return EditReply("accepted", outcome.revision)
    if isinstance(outcome, Refused):
        return EditReply(
            "refused", reasons=outcome.reasons, difference=outcome.difference
        )
    if isinstance(outcome, NotAccepted):
        return EditReply("not_accepted", reasons=(outcome.reason,))
    return EditReply("unknown", reasons=(outcome.reason,))
