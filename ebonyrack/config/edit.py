"""What an operator wants changed in the document, and what becomes of it."""

from __future__ import annotations

from dataclasses import dataclass

from ebonyrack.config.stored import StoredDocument
from ebonyrack.config.text import compute_digest
from ebonyrack.config.text import find_changes
from ebonyrack.config.text import split_sections


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


Outcome = Accepted | Refused | NotAccepted | Unknown


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
