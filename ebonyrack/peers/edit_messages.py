"""Messages by which operators change the document."""

from __future__ import annotations

from ebonyrack.peers.message import Message
from ebonyrack.peers.message import register_message


@register_message(50)
class EditRequest(Message):
    """An operator's change of the document.

    Attributes:
        edit_id: Identity of the edit, by which an unknown outcome is resolved.
        operator: Name of the operator.
        base_revision: Revision that the edit is based on.
        changes: Title of each changed section to its text, None to remove it.
        expected: Title of each changed section to the digest of its text in the
            base revision.
        limit_s: Seconds within which the operator wants a reply.
        is_repeat: Whether an earlier attempt may have been made.
    """

    edit_id: str
    operator: str
    base_revision: int
    changes: dict[str, str | None]
    expected: dict[str, bytes]
    limit_s: float
    is_repeat: bool = False


@register_message(51)
class EditReply(Message):
    """Outcome of an edit.

    Attributes:
        outcome: `accepted`, `refused`, `not_accepted` or `unknown`.
        revision: Revision that holds the edit, if accepted.
        reasons: Configuration errors, or why it was not accepted.
        difference: Unified diff to the document in force, for a conflict.
    """

    outcome: str
    revision: int = 0
    reasons: tuple[str, ...] = ()
    difference: str = ""


@register_message(52)
class AskRevisions(Message):
    """An operator's request for the revision that each proxy runs."""


@register_message(53)
class RevisionsReply(Message):
    """Revision that each proxy runs, by name; 0 if a proxy was not reached."""

    revisions: dict[str, int]
