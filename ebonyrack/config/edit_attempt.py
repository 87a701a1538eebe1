"""Merging one edit into the stored document by compare-and-swap."""

from __future__ import annotations

import asyncio

from result import Err

from ebonyrack.config.edit import Accepted
from ebonyrack.config.edit import Edit
from ebonyrack.config.edit import NotAccepted
from ebonyrack.config.edit import Outcome
from ebonyrack.config.edit import Refused
from ebonyrack.config.edit import Unknown
from ebonyrack.config.edit_check import check_edit
from ebonyrack.config.state import ConfigurationState
from ebonyrack.config.stored import DOCUMENT_KEY
from ebonyrack.config.stored import EMPTY_STORED
from ebonyrack.config.stored import BadStoredDocumentError
from ebonyrack.config.stored import StoredDocument
from ebonyrack.config.stored import pack_stored
from ebonyrack.config.stored import unpack_stored
from ebonyrack.core.clock import now_s
from ebonyrack.store.backoff import Backoff
from ebonyrack.store.consul_store import ConsulStore
from ebonyrack.store.store_response import StoreErrorKind

FIRST_BACKOFF_S = 0.05
MAXIMUM_BACKOFF_S = 1.0


class EditAttempt:
    """Merges one edit into the stored document, with retries until a deadline.

    Attributes:
        store: The platform's store.
        state: Document in force on this proxy.
        edit: The requested change.
        deadline_s: Monotonic time at which the attempt ends.
        pending_index: Index expected by a swap whose answer was lost, or None.
        reason: Why the last step failed.
    """

    __slots__ = (
        "store",
        "state",
        "edit",
        "deadline_s",
        "pending_index",
        "reason",
        "backoff",
    )

    def __init__(
        self,
        store: ConsulStore,
        state: ConfigurationState,
        edit: Edit,
        deadline_s: float,
    ) -> None:
        self.store = store
        self.state = state
        self.edit = edit
        self.deadline_s = deadline_s
        self.pending_index: int | None = None
        self.reason = "the deadline passed"
        self.backoff = Backoff(FIRST_BACKOFF_S, MAXIMUM_BACKOFF_S)

    async def run(self) -> Outcome:
        """Read, check and swap until the outcome is certain or the deadline passes."""
        try:
            async with asyncio.timeout(self.deadline_s - now_s()):
                while True:
                    outcome = await self.attempt_once()
                    if outcome is not None:
                        return outcome
                    await asyncio.sleep(self.backoff.choose_delay())
        except TimeoutError:
            return self.build_timeout_outcome()

    def build_timeout_outcome(self) -> Outcome:
        """Return what is certain about the edit when the deadline passes."""
        if self.pending_index is not None or self.edit.is_repeat:
            return Unknown(self.edit.edit_id, self.reason)
        return NotAccepted(self.reason)

    async def attempt_once(self) -> Outcome | None:
        """Read, check and swap once.

        Returns:
            The outcome, or None if another attempt is needed.
        """
        found = await self.read_current()
        if found is None:
            return None
        stored, index = found
        record = stored.find_edit(self.edit.edit_id)
        if record is not None:
            self.state.apply_if_newer(stored, "store")
            return Accepted(record.revision)
        if not self.edit.changes:
            return Unknown(self.edit.edit_id, "it has not taken effect so far")
        if not stored.covers_edits_after(self.edit.base_revision):
            return Unknown(
                self.edit.edit_id, "the history doesn't reach back to its base"
            )
        if self.pending_index is not None and index > self.pending_index:
            # The index has advanced, so the lost swap can no longer take effect.
            self.pending_index = None
        checked = check_edit(self.edit, stored, self.state.document)
        if isinstance(checked, Refused):
            return self.confirm_refusal(checked)
        return await self.swap(checked, index)

    def confirm_refusal(self, refusal: Refused) -> Outcome | None:
        """Return a refusal, unless a lost swap of this attempt may still take effect.

        A swap of an earlier attempt needs no such wait: it was sent only if the
        document of that time allowed the edit, so the document has changed since
        then and the index that the swap expects is outdated.
        """
        if self.pending_index is not None:
            self.reason = "; ".join(refusal.reasons)
            return None
        return refusal

    async def read_current(self) -> tuple[StoredDocument, int] | None:
        """Read the newest document and its index; return None on failure."""
        answer = await self.store.get(DOCUMENT_KEY)
        if isinstance(answer, Err):
            self.reason = f"reading failed: {answer.err_value.reason}"
            return None
        value = answer.ok_value
        try:
            stored = EMPTY_STORED if value is None else unpack_stored(value.value)
        except BadStoredDocumentError as error:
            self.reason = str(error)
            return None
        known = max(self.state.revision, self.edit.base_revision)
        if stored.revision < known:
            self.reason = (
                f"the store returned revision {stored.revision}, but {known} is known"
            )
            return None
        return stored, 0 if value is None else value.index

    async def swap(self, stored: StoredDocument, index: int) -> Outcome | None:
        """Try to replace the document that has an index."""
        # The swap may take effect at any time until its answer arrives.
        earlier = self.pending_index
        self.pending_index = max(index, earlier or 0)
        self.reason = "the swap has not been answered"
        answer = await self.store.compare_and_swap(
            DOCUMENT_KEY, pack_stored(stored), index
        )
        if isinstance(answer, Err):
            self.reason = f"writing failed: {answer.err_value.reason}"
            if answer.err_value.kind is not StoreErrorKind.UNKNOWN:
                self.pending_index = earlier
            return None
        if answer.ok_value:
            self.state.apply_if_newer(stored, "edit")
            return Accepted(stored.revision)
        self.reason = "another edit was accepted first"
        self.pending_index = earlier
        return None
