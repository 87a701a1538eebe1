"""Changes of the document: checked, merged and accepted by compare-and-swap."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass

from result import Err

from ebonyrack.config.document import EMPTY_DOCUMENT
from ebonyrack.config.document import Document
from ebonyrack.config.document import parse_document
from ebonyrack.config.ownership import find_denied_sections
from ebonyrack.config.state import ConfigurationState
from ebonyrack.config.stored import DOCUMENT_KEY
from ebonyrack.config.stored import EMPTY_STORED
from ebonyrack.config.stored import BadStoredDocumentError
from ebonyrack.config.stored import EditRecord
from ebonyrack.config.stored import StoredDocument
from ebonyrack.config.stored import pack_stored
from ebonyrack.config.stored import trim_history
from ebonyrack.config.stored import unpack_stored
from ebonyrack.config.text import apply_changes
from ebonyrack.config.text import build_difference
from ebonyrack.config.text import compute_digest
from ebonyrack.config.text import find_changes
from ebonyrack.config.text import split_sections
from ebonyrack.config.upstream_change import check_upstream_changes
from ebonyrack.core.clock import now_s
from ebonyrack.platform.backoff import Backoff
from ebonyrack.platform.store import Store
from ebonyrack.platform.store_answer import StoreErrorKind

FIRST_BACKOFF_S = 0.05
MAXIMUM_BACKOFF_S = 1.0


@dataclass(frozen=True, slots=True)
class Edit:
    """What an operator wants changed.

    Attributes:
        edit_id: Identity of the edit; a repeat with the same one changes nothing.
        operator: Name of the operator.
        base_revision: Revision that the operator started from.
        changes: Title of each changed section to its new text, None to remove it.
        expected: Title of each changed section to the digest of the text that the
            operator started from.
        is_repeat: Whether an earlier attempt with this identity may have been made.
    """

    edit_id: str
    operator: str
    base_revision: int
    changes: dict[str, str | None]
    expected: dict[str, bytes]
    is_repeat: bool = False


@dataclass(frozen=True, slots=True)
class Accepted:
    """The edit is part of the document from a revision on."""

    revision: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The edit is not part of the document and a repeat is refused too.

    Attributes:
        reasons: Faults, sections that the operator may not change, or a lost race.
        difference: Unified diff to the document in force, for a lost race.
    """

    reasons: tuple[str, ...]
    difference: str = ""


@dataclass(frozen=True, slots=True)
class NotAccepted:
    """The edit is not part of the document; a repeat may succeed."""

    reason: str


@dataclass(frozen=True, slots=True)
class Unknown:
    """Whether the edit took effect isn't known; a repeat with its identity tells."""

    edit_id: str
    reason: str


def build_edit(edit_id: str, operator: str, base: StoredDocument, wanted: str) -> Edit:
    """Build the edit that turns one text into another.

    Args:
        edit_id: Identity of the edit.
        operator: Name of the operator.
        base: Document that the operator started from.
        wanted: The document as the operator wants it.

    Returns:
        The edit.
    """
    changes = find_changes(base.text, wanted)
    before = split_sections(base.text)
    expected = {title: compute_digest(before.get(title, "")) for title in changes}
    return Edit(edit_id, operator, base.revision, changes, expected)


Outcome = Accepted | Refused | NotAccepted | Unknown


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
        self, store: Store, state: ConfigurationState, edit: Edit, deadline_s: float
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


def check_edit(
    edit: Edit, stored: StoredDocument, in_force: Document = EMPTY_DOCUMENT
) -> Refused | StoredDocument:
    """Check an edit against a document as a whole.

    Args:
        edit: What is to be changed.
        stored: The document that it would change.
        in_force: A document of which unchanged sections needn't be read again.

    Returns:
        Why it is refused, or the document with the change.
    """
    conflict = find_conflict(edit, stored)
    if conflict is not None:
        return conflict
    text = apply_changes(stored.text, edit.changes)
    revision = stored.revision + 1
    found, _ = parse_document(stored.text, stored.revision, previous=in_force)
    present = found or EMPTY_DOCUMENT
    wanted, faults = parse_document(text, revision, previous=present)
    if wanted is None:
        return Refused(tuple(str(fault) for fault in faults))
    present_time_s = int(time.time())
    denied = find_denied_sections(edit, present, wanted)
    denied += check_upstream_changes(present, wanted, stored.history, present_time_s)
    if denied:
        return Refused(denied)
    record = EditRecord(
        revision, edit.edit_id, edit.operator, present_time_s, tuple(edit.changes)
    )
    history = trim_history((*stored.history, record))
    return StoredDocument(revision, text, history)


def find_conflict(edit: Edit, stored: StoredDocument) -> Refused | None:
    """Find the sections that another edit changed since this one's base."""
    sections = split_sections(stored.text)
    differences = []
    reasons = []
    for title, wanted in edit.changes.items():
        present = sections.get(title, "")
        if compute_digest(present) == edit.expected.get(title):
            continue
        reasons.append(f"[{title}] was changed after revision {edit.base_revision}")
        differences.append(build_difference(wanted or "", present, title))
    if not reasons:
        return None
    return Refused(tuple(reasons), "".join(differences))
