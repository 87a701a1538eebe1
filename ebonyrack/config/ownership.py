"""Which operator may change which section."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ebonyrack.config.document import Document
from ebonyrack.config.document import get_records

if TYPE_CHECKING:
    from ebonyrack.config.edit import Edit

ADMINISTRATORS = "administrators"


def find_denied_sections(
    edit: Edit, present: Document, wanted: Document
) -> tuple[str, ...]:
    """Find the sections of an edit that its operator may not change.

    The section's owner counts both before and after the change, so that nobody
    takes a section over or gives one away that is not theirs. Operators' own
    sections and the lines before the first section are the administrators'.

    Args:
        edit: What is to be changed.
        present: The document before.
        wanted: The document after.

    Returns:
        One reason for each section; none if the edit is allowed.
    """
    if not present.operators:
        # The first document names the first operators.
        return ()
    operator = present.operators.get(edit.operator)
    if operator is None:
        return (f"operator {edit.operator!r} is not in the document",)
    if ADMINISTRATORS in operator.acts_for:
        return ()
    denied = []
    for title in edit.changes:
        owners = find_owners(title, present) | find_owners(title, wanted)
        foreign = sorted(owners - set(operator.acts_for))
        if foreign:
            denied.append(f"[{title}] is owned by {', '.join(foreign)}")
    return tuple(denied)


def find_owners(title: str, document: Document) -> set[str]:
    """Return the owner of a section as a set, empty if there is no such section."""
    kind, _, name = title.partition(" ")
    if kind in ("", "operator"):
        return {ADMINISTRATORS}
    section = get_records(document).get(kind, {}).get(name)
    return set() if section is None else {section.owner}
