"""Access to the operators' document through a proxy or directly in the store."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Protocol

from result import Err

from ebonyrack.config.edit import Edit
from ebonyrack.config.edit_attempt import EditAttempt
from ebonyrack.config.edit_handler import build_reply
from ebonyrack.config.state import ConfigurationState
from ebonyrack.config.stored import DOCUMENT_KEY
from ebonyrack.config.stored import EMPTY_STORED
from ebonyrack.config.stored import BadStoredDocumentError
from ebonyrack.config.stored import StoredDocument
from ebonyrack.config.stored import unpack_stored
from ebonyrack.core.clock import now_s
from ebonyrack.ops.client import ProxyAccess
from ebonyrack.ops.client import ProxyClient
from ebonyrack.ops.client import query_proxy
from ebonyrack.ops.exit_status import CommandError
from ebonyrack.ops.exit_status import ExitStatus
from ebonyrack.peers.document_messages import AskDocument
from ebonyrack.peers.document_messages import DocumentReply
from ebonyrack.peers.edit_messages import AskRevisions
from ebonyrack.peers.edit_messages import EditReply
from ebonyrack.peers.edit_messages import EditRequest
from ebonyrack.peers.edit_messages import RevisionsReply
from ebonyrack.peers.request_link import PeerLostError
from ebonyrack.store.consul_store import ConsulStore

REPLY_MARGIN_S = 2.0
POLL_INTERVAL_S = 0.1


class DocumentAccess(Protocol):
    """Access to the document."""

    async def read(self) -> StoredDocument:
        """Read the document in force."""

    async def change(self, edit: Edit, limit_s: float) -> EditReply:
        """Submit an edit, to be accepted within `limit_s`, and return its outcome."""


class ProxyDocument:
    """Access to the document through a proxy."""

    __slots__ = ("access",)

    def __init__(self, access: ProxyAccess) -> None:
        self.access = access

    async def read(self) -> StoredDocument:
        """Read the document in force at the proxy."""
        reply = await query_proxy(self.access, AskDocument(0), DocumentReply)
        return unpack_stored(reply.stored) if reply.stored else EMPTY_STORED

    async def change(self, edit: Edit, limit_s: float) -> EditReply:
        """Submit an edit; if the reply is lost, repeat it at the other proxies."""
        access = self.access
        reply = EditReply("unknown")
        for _ in self.access.proxies:
            try:
                return await send_edit(access, edit, limit_s)
            except PeerLostError as error:
                reply = EditReply("unknown", reasons=(error.reason,))
            edit = replace(edit, is_repeat=True)
            access = replace(access, proxies=access.proxies[1:] + access.proxies[:1])
        return reply

    async def read_revisions(self) -> dict[str, int]:
        """Return the revision that each live proxy runs, 0 if it was not reached."""
        reply = await query_proxy(self.access, AskRevisions(), RevisionsReply)
        return reply.revisions

    async def wait_for_revision(self, revision: int, limit_s: float) -> dict[str, int]:
        """Wait until all proxies run at least a revision, or until the timeout.

        Args:
            revision: The revision.
            limit_s: Seconds to wait.

        Returns:
            The revision that each proxy runs at the end.
        """
        deadline_s = now_s() + limit_s
        revisions = await self.read_revisions()
        while not all_run_revision(revisions, revision) and now_s() < deadline_s:
            await asyncio.sleep(POLL_INTERVAL_S)
            revisions = await self.read_revisions()
        return revisions


class DirectDocument:
    """Access to the document in the store, without a proxy."""

    __slots__ = ("store",)

    def __init__(self, store: ConsulStore) -> None:
        self.store = store

    async def read(self) -> StoredDocument:
        """Read the document from the store."""
        result = await self.store.get(DOCUMENT_KEY)
        if isinstance(result, Err):
            raise CommandError(ExitStatus.UNREACHABLE, result.err_value.reason)
        value = result.ok_value
        try:
            return EMPTY_STORED if value is None else unpack_stored(value.value)
        except BadStoredDocumentError as error:
            raise CommandError(ExitStatus.REFUSED, str(error)) from error

    async def change(self, edit: Edit, limit_s: float) -> EditReply:
        """Attempt an edit in this process."""
        state = ConfigurationState()
        attempt = EditAttempt(self.store, state, edit, now_s() + limit_s)
        return build_reply(await attempt.run())


async def send_edit(access: ProxyAccess, edit: Edit, limit_s: float) -> EditReply:
    """Send an edit to the first reachable proxy.

    Raises:
        CommandError: If no proxy is reachable or authentication fails.
        PeerLostError: If the edit was sent and the reply was lost.
    """
    request = EditRequest(
        edit.edit_id,
        edit.operator,
        edit.base_revision,
        edit.changes,
        edit.expected,
        limit_s,
        edit.is_repeat,
    )
    async with ProxyClient(access) as client:
        await client.authenticate()
        return await client.request(request, EditReply, limit_s + REPLY_MARGIN_S)


def all_run_revision(revisions: dict[str, int], revision: int) -> bool:
    """Return whether all proxies run at least a revision."""
    return bool(revisions) and min(revisions.values()) >= revision
