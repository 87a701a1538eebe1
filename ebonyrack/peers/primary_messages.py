"""Messages about the primary of a database group."""

from __future__ import annotations

from ebonyrack.peers.message import Message
from ebonyrack.peers.message import register_message


@register_message(20)
class PrimarySeen(Message):
    """Announcement of a group's primary."""

    group: str
    term: int
    primary_name: str


@register_message(21)
class AskPrimary(Message):
    """Pre-vote request: whether the receiver reaches the group's primary."""

    group: str
    primary_name: str
    term: int


@register_message(22)
class PrimaryOpinion(Message):
    """Reply to `AskPrimary` with the sender's own view."""

    reachable: bool
    term: int
    primary_name: str


@register_message(23)
class HoldWrites(Message):
    """Request to hold new writes of a group while its primary is moved.

    Attributes:
        group: Name of the group.
        term: Term of the primary that is to be replaced.
        hold_ms: Milliseconds for which they are held at most; 0 releases them.
    """

    group: str
    term: int
    hold_ms: int


@register_message(24)
class WritesHeld(Message):
    """Reply to `HoldWrites`: whether no transaction is open on the primary."""

    is_drained: bool
