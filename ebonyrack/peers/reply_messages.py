"""Replies to questions that another process could not answer."""

from __future__ import annotations

from ebonyrack.peers.message import Message
from ebonyrack.peers.message import register_message


@register_message(3)
class Failure(Message):
    """Reply to a request that could not be answered."""

    reason: str


@register_message(4)
class NotHandled(Message):
    """Reply to a request that was not even begun, such as one of an unknown type."""

    reason: str
