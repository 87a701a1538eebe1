"""Messages about a caller's session at another proxy."""

from __future__ import annotations

from ebonyrack.peers.message import Message
from ebonyrack.peers.message import register_message


@register_message(60)
class CancelSession(Message):
    """A caller's cancel request that reached another proxy than the session's.

    Attributes:
        number: Number of the session in its proxy.
        secret_key: Secret that only the session's caller knows.
    """

    number: int
    secret_key: bytes
