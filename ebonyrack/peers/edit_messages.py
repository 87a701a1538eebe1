"""Messages by which operators change the document."""

from __future__ import annotations

from ebonyrack.peers.message import Message
from ebonyrack.peers.message import register_message


@register_message(50)
class EditRequest(Message):
    """An operator's change of the document.

    Attributes:
        edit_id: Identity of the edit, by which a lost answer is settled.
        operator: Name of the operator.
        base_revision: Revision that the operator started from.
        changes: Title of each changed section to its text, None to remove it.
        expected: Title of each changed section to the digest of the text that
            the operator started from.
        limit_s: Seconds within which the operator wants an answer.
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
        reasons: Faults of the document, or why it was not accepted.
        difference: Unified diff to the document in force, for a lost race.
    """

    outcome: str
    revision: int = 0
    reasons: tuple[str, ...] = ()
    difference: str = ""


@register_message(52)
class AskRevisions(Message):
    """An operator's question which proxies run which revision."""


@register_message(53)
class RevisionsReply(Message):
    """Proxy name to the revision that it runs; 0 if it was not reached."""

    revisions: dict[str, int]
