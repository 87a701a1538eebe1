"""Messages of the protocol of links between proxies for routes."""

from __future__ import annotations

from ebonyrack.peers.message import Message
from ebonyrack.peers.message import register_message


@register_message(190)
class ProxyHello(Message):
    """First message of both sides of a link.

    Attributes:
        version: Protocol version.
        name: Name of the sender.
        incarnation: Random number of the sender's process.
    """

    version: int
    name: str
    incarnation: int


@register_message(191)
class EndLink(Message):
    """Question whether this link can be closed; the receiver asks nothing on it more.

    It is answered at once; the sender closes the link when nothing is unanswered.
    """


@register_message(192)
class LinkAlive(Message):
    """Question and answer that show that a link still carries messages."""
