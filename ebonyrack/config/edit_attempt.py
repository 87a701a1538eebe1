"""One edit on its way into the store: merged, then accepted by compare-and-swap."""

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
    """One edit on its way into the store.

    Attributes:
        store: The platform's store.
        state: Document in force on this proxy.
        edit: What is to be changed.
        deadline_s: Monotonic time by which it ends.
        pending_index: Index named by a swap whose answer was lost, or None.
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
        self.reason = "no time was left"
        self.backoff = Backoff(FIRST_BACKOFF_S, MAXIMUM_BACKOFF_S)

    async def run(self) -> Outcome:
        """Read, check and swap until the outcome is sure or the time is over."""
        try:
            async with asyncio.timeout(self.deadline_s - now_s()):
                while True:
                    outcome = await self.try_once()
                    if outcome is not None:
                        return outcome
                    await asyncio.sleep(self.backoff.choose_delay())
        except TimeoutError:
            return self.give_up()

    def give_up(self) -> Outcome:
        """Tell truthfully what is known when the time is over."""
        if self.pending_index is not None or self.edit.is_repeat:
            return Unknown(self.edit.edit_id, self.reason)
        return NotAccepted(self.reason)

    async def try_once(self) -> Outcome | None:
        """Read, check and swap once.

        Returns:
            The outcome, or None if another try is needed.
        """
        found = await self.read_current()
        if found is None:
            return None
        stored, index = found
        record = stored.find_edit(self.edit.edit_id)
        if record is not None:
            self.state.offer(stored, "store")
            return Accepted(record.revision)
        if not self.edit.changes:
            return Unknown(self.edit.edit_id, "it has not taken effect so far")
        if not stored.reaches_back_to(self.edit.base_revision):
            return Unknown(self.edit.edit_id, "the history doesn't reach back so far")
        if self.pending_index is not None and index > self.pending_index:
            # Another change took the index that the lost swap named.
            self.pending_index = None
        checked = check_edit(self.edit, stored, self.state.document)
        if isinstance(checked, Refused):
            return self.refuse(checked)
        return await self.swap(checked, index)

    def refuse(self, refusal: Refused) -> Outcome | None:
        """Refuse, unless a lost swap of this attempt may still take effect.

        An earlier attempt needs no such wait: it swapped only if the document that
        it read allowed the edit, so the document has changed since then and the
        index that it named is gone.
        """
        if self.pending_index is not None:
            self.reason = "; ".join(refusal.reasons)
            return None
        return refusal

    async def read_current(self) -> tuple[StoredDocument, int] | None:
        """Read the newest document and its index, None if that failed."""
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
                f"the store answers revision {stored.revision}, {known} is known"
            )
            return None
        return stored, 0 if value is None else value.index

    async def swap(self, stored: StoredDocument, index: int) -> Outcome | None:
        """Try to replace the document of an index."""
        # Until the answer is there, the swap may take effect at any moment.
        earlier = self.pending_index
        self.pending_index = max(index, earlier or 0)
        self.reason = "the answer to the swap is outstanding"
        answer = await self.store.compare_and_swap(
            DOCUMENT_KEY, pack_stored(stored), index
        )
        if isinstance(answer, Err):
            self.reason = f"writing failed: {answer.err_value.reason}"
            if answer.err_value.kind is not StoreErrorKind.UNKNOWN:
                self.pending_index = earlier
            return None
        if answer.ok_value:
            self.state.offer(stored, "edit")
            return Accepted(stored.revision)
        self.reason = "other edits won the race"
        self.pending_index = earlier
        return None
