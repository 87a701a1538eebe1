"""An operator's edit of the document and its possible outcomes."""

from __future__ import annotations

from dataclasses import dataclass

from ebonyrack.config.stored import StoredDocument
from ebonyrack.config.text import compute_digest
from ebonyrack.config.text import find_changes
from ebonyrack.config.text import split_sections


@dataclass(frozen=True, slots=True)
class Edit:
    """A change of the document that an operator requests.

    Attributes:
        edit_id: Identity of the edit; a repeat with the same one changes nothing.
        operator: Name of the operator.
        base_revision: Revision that the edit is based on.
        changes: Title of each changed section to its new text, None to remove it.
        expected: Title of each changed section to the digest of its text in the
            base revision.
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
    """The edit is part of the document since a revision."""

    revision: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The edit is not part of the document, and a repeat would be refused too.

    Attributes:
        reasons: Configuration errors, sections that the operator may not change, or
            conflicts with another edit.
        difference: Unified diff to the document in force, for a conflict.
    """

    reasons: tuple[str, ...]
    difference: str = ""


@dataclass(frozen=True, slots=True)
class NotAccepted:
    """The edit is not part of the document; a repeat may succeed."""

    reason: str


@dataclass(frozen=True, slots=True)
class Unknown:
    """The effect of the edit is unknown; a repeat with its identity resolves it."""

    edit_id: str
    reason: str


Outcome = Accepted | Refused | NotAccepted | Unknown


def build_edit(edit_id: str, operator: str, base: StoredDocument, wanted: str) -> Edit:
    """Build the edit that turns one text into another.

    Args:
        edit_id: Identity of the edit.
        operator: Name of the operator.
        base: Document that the edit is based on.
        wanted: Text of the document that the operator wants.

    Returns:
        The edit.
    """
    changes = find_changes(base.text, wanted)
    before = split_sections(base.text)
    expected = {title: compute_digest(before.get(title, "")) for title in changes}
    return Edit(edit_id, operator, base.revision, changes, expected)
