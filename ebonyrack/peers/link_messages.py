"""Messages of the link protocol, and `Flood`, which carries other messages."""

from __future__ import annotations

from typing import Any

from ebonyrack.peers.member import MemberField
from ebonyrack.peers.message import Message
from ebonyrack.peers.message import register_message


@register_message(1)
class Hello(Message):
    """First message of both sides of a link.

    Attributes:
        version: Protocol version.
        role: `proxy`, `query` or `operator`.
        member: Description of the sender; an operator sends one with its own name.
        nonce: Challenge that the other side's proof must answer.
    """

    version: int
    role: str
    member: MemberField
    nonce: bytes


@register_message(2)
class Proof(Message):
    """HMAC of both challenges under the shared secret."""

    digest: bytes


@register_message(16)
class Flood(Message):
    """A broadcast that receivers relay when not all members are linked.

    Attributes:
        identity: Random number by which a repeat is recognised.
        code: Code of the message inside.
        fields: Its fields.
    """

    identity: int
    code: int
    fields: list[Any]


@register_message(17)
class Unlink(Message):
    """The sender closes this link because it no longer needs it, but keeps running."""
