"""Takes operators' edits that reach a proxy and says who runs which revision."""

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
from ebonyrack.peers.link import PeerLostError
from ebonyrack.peers.member import Member
from ebonyrack.peers.message import Message
from ebonyrack.store.consul_store import ConsulStore

MAXIMUM_LIMIT_S = 60.0
MAXIMUM_EDITS = 8
MAXIMUM_ASKED_AT_ONCE = 16
ASK_TIMEOUT_S = 2.0
# Higher than any revision, so that a peer answers with its number alone.
NO_DOCUMENT = 2**62


class EditHandler:
    """Handles the operators' messages about the document in one proxy.

    Attributes:
        state: The document in force.
        store: The platform's store.
        hub: Links to the peers and operators.
        edit_places: Bounds the edits that run at once.
        authentication: Knows which operator is at a link.
    """

    __slots__ = ("state", "store", "hub", "edit_places", "authentication")

    def __init__(
        self, state: ConfigurationState, store: ConsulStore, hub: PeerHub
    ) -> None:
        self.state = state
        self.store = store
        self.hub = hub
        self.edit_places = asyncio.Semaphore(MAXIMUM_EDITS)
        self.authentication = OperatorAuthentication(state, hub)
        hub.register_handler(EditRequest, self.edit)
        hub.register_handler(AskRevisions, self.answer_revisions)

    async def edit(self, link: PeerLink, message: EditRequest) -> Message:
        """Try to get an operator's edit accepted."""
        if not self.authentication.is_authenticated(link, message.operator):
            reason = f"operator {message.operator!r} has not proved its identity"
            return EditReply("refused", reasons=(reason,))
        edit = Edit(
            message.edit_id,
            message.operator,
            message.base_revision,
            message.changes,
            message.expected,
            message.is_repeat,
        )
        deadline_s = now_s() + min(message.limit_s, MAXIMUM_LIMIT_S)
        async with self.edit_places:
            attempt = EditAttempt(self.store, self.state, edit, deadline_s)
            outcome = await attempt.run()
        log_outcome(edit, outcome)
        return build_reply(outcome)

    async def answer_revisions(
        self, link: PeerLink, message: AskRevisions
    ) -> RevisionsReply:
        """Ask all live proxies which revision they run."""
        places = asyncio.Semaphore(MAXIMUM_ASKED_AT_ONCE)
        members = self.hub.membership.live_members()
        revisions = await asyncio.gather(
            *(self.ask_revision(member, places) for member in members)
        )
        names = [member.name for member in members]
        return RevisionsReply(dict(zip(names, revisions, strict=True)))

    async def ask_revision(self, member: Member, places: asyncio.Semaphore) -> int:
        """Return the revision that a proxy runs, 0 if it isn't reached."""
        if member.name == self.hub.membership.local.name:
            return self.state.revision
        async with places:
            try:
                reply = await self.hub.request(
                    member.name, AskDocument(NO_DOCUMENT), ASK_TIMEOUT_S
                )
            except PeerLostError:
                return 0
        return reply.revision if isinstance(reply, DocumentReply) else 0


def log_outcome(edit: Edit, outcome: Outcome) -> None:
    """Log what became of an edit."""
    logger.bind(
        edit_id=edit.edit_id,
        operator=edit.operator,
        base_revision=edit.base_revision,
        sections=sorted(edit.changes),
        outcome=str(outcome),
    ).info("edit_ended")


def build_reply(outcome: Outcome) -> EditReply:
    """Build the message that tells an operator the outcome of an edit."""
    if isinstance(outcome, Accepted):
        return EditReply("accepted", outcome.revision)
    if isinstance(outcome, Refused):
        return EditReply(
            "refused", reasons=outcome.reasons, difference=outcome.difference
        )
    if isinstance(outcome, NotAccepted):
        return EditReply("not_accepted", reasons=(outcome.reason,))
    return EditReply("unknown", reasons=(outcome.reason,))
