"""Checks of an edit against the document that it would change."""

from __future__ import annotations

import time

from ebonyrack.config.document import EMPTY_DOCUMENT
from ebonyrack.config.document import Document
from ebonyrack.config.document import parse_document
from ebonyrack.config.edit import Edit
from ebonyrack.config.edit import Refused
from ebonyrack.config.ownership import find_denied_sections
from ebonyrack.config.stored import EditRecord
from ebonyrack.config.stored import StoredDocument
from ebonyrack.config.stored import trim_history
from ebonyrack.config.text import apply_changes
from ebonyrack.config.text import build_difference
from ebonyrack.config.text import compute_digest
from ebonyrack.config.text import split_sections
from ebonyrack.config.upstream_change import check_upstream_changes


def check_edit(
    edit: Edit, stored: StoredDocument, in_force: Document = EMPTY_DOCUMENT
) -> Refused | StoredDocument:
    """Check an edit against a document as a whole.

    Args:
        edit: The requested change.
        stored: The document that it would change.
        in_force: Document whose unchanged sections needn't be parsed again.

    Returns:
        The refusal, or the document with the change.
    """
    conflict = find_conflict(edit, stored)
    if conflict is not None:
        return conflict
    text = apply_changes(stored.text, edit.changes)
    revision = stored.revision + 1
    parsed, _ = parse_document(stored.text, stored.revision, previous=in_force)
    current = parsed or EMPTY_DOCUMENT
    wanted, errors = parse_document(text, revision, previous=current)
    if wanted is None:
        return Refused(tuple(str(error) for error in errors))
    current_time_s = int(time.time())
    denied = find_denied_sections(edit, current, wanted)
    denied += check_upstream_changes(current, wanted, stored.history, current_time_s)
    if denied:
        return Refused(denied)
    record = EditRecord(
        revision, edit.edit_id, edit.operator, current_time_s, tuple(edit.changes)
    )
    history = trim_history((*stored.history, record))
    return StoredDocument(revision, text, history)


def find_conflict(edit: Edit, stored: StoredDocument) -> Refused | None:
    """Return a refusal if a section was changed since the base of the edit."""
    sections = split_sections(stored.text)
    differences = []
    reasons = []
    for title, wanted in edit.changes.items():
        current = sections.get(title, "")
        if compute_digest(current) == edit.expected.get(title):
            continue
        reasons.append(f"[{title}] was changed after revision {edit.base_revision}")
        differences.append(build_difference(wanted or "", current, title))
    if not reasons:
        return None
    return Refused(tuple(reasons), "".join(differences))
