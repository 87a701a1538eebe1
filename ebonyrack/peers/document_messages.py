"""Messages that propagate the document and the list of leaving VMs."""

from __future__ import annotations

from typing import Any

from ebonyrack.peers.message import Message
from ebonyrack.peers.message import register_message


@register_message(30)
class DocumentNews(Message):
    """Announcement of the document revision that the sender runs."""

    revision: int


@register_message(31)
class AskDocument(Message):
    """Request for the document, if it is newer than a revision."""

    above_revision: int


@register_message(32)
class DocumentReply(Message):
    """The stored form of the document; empty when there is nothing newer."""

    revision: int
    stored: bytes


@register_message(33)
class ChangesReply(Message):
    """Changes of the document since the revision in the request.

    Attributes:
        base_revision: Revision to which the changes apply.
        revision: Revision that they lead to.
        changes: Title of each changed section to its text, None if removed.
        history: The edits between the two, each as the list of its fields.
        digest: Digest of the text that they lead to.
    """

    base_revision: int
    revision: int
    changes: dict[str, str | None]
    history: list[list[Any]]
    digest: bytes


@register_message(34)
class VmNews(Message):
    """The leaving VMs that the sender knows from the platform's list.

    Attributes:
        index: The list's own index.
        leaving: Names of the VMs.
    """

    index: int
    leaving: tuple[str, ...]
