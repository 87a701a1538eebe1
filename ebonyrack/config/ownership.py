"""Permission checks: which operator may change which section."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ebonyrack.config.document import Document
from ebonyrack.config.document import get_records

if TYPE_CHECKING:
    from ebonyrack.config.edit import Edit

ADMINISTRATORS = "administrators"


def find_denied_sections(
    edit: Edit, current: Document, wanted: Document
) -> tuple[str, ...]:
    """Find the sections of an edit that its operator may not change.

    The operator must act for the section's owner both before and after the change,
    so that nobody takes over a section or gives away one that is not theirs.
    Operator sections and the lines before the first section belong to the
    administrators.

    Args:
        edit: The requested change.
        current: The document before the change.
        wanted: The document after the change.

    Returns:
        One reason for each denied section; none if the edit is allowed.
    """
    if not current.operators:
        # The first document defines the first operators, so anyone may write it.
        return ()
    operator = current.operators.get(edit.operator)
    if operator is None:
        return (f"operator {edit.operator!r} is not in the document",)
    if ADMINISTRATORS in operator.acts_for:
        return ()
    denied = []
    for title in edit.changes:
        owners = find_owners(title, current) | find_owners(title, wanted)
        other_owners = sorted(owners - set(operator.acts_for))
        if other_owners:
            denied.append(f"[{title}] is owned by {', '.join(other_owners)}")
    return tuple(denied)


def find_owners(title: str, document: Document) -> set[str]:
    """Return the owner of a section as a set, empty if there is no such section."""
    kind, _, name = title.partition(" ")
    if kind in ("", "operator"):
        return {ADMINISTRATORS}
    section = get_records(document).get(kind, {}).get(name)
    return set() if section is None else {section.owner}
