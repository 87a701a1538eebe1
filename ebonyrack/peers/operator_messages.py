"""Messages between operators' tools and proxies."""

from __future__ import annotations

from dataclasses import field
from typing import Any

from ebonyrack.peers.member import MemberField
from ebonyrack.peers.message import Message
from ebonyrack.peers.message import register_message


@register_message(40)
class StatusRequest(Message):
    """An operator's request for the state of a proxy.

    Attributes:
        include_sessions: Whether callers' sessions are listed too.
    """

    include_sessions: bool = False


@register_message(41)
class StatusReply(Message):
    """State of a proxy.

    Attributes:
        proxy: Its name.
        revision: Revision of the document that it runs.
        is_cut_off: Whether it accepts no new work because it is cut off.
        members: Members that it knows.
        groups: Group name to what the proxy knows of the group.
        sessions: One entry for each caller's session, if requested.
    """

    proxy: str
    revision: int
    is_cut_off: bool
    members: tuple[MemberField, ...]
    groups: dict[str, Any] = field(default_factory=dict)
    sessions: list[dict[str, Any]] = field(default_factory=list)


@register_message(42)
class DrainRequest(Message):
    """An operator's command to a proxy to shut down gracefully."""


@register_message(43)
class SwitchoverRequest(Message):
    """An operator's command to promote the replica `to`, or any if it is empty."""

    group: str
    to: str = ""


@register_message(44)
class CommandReply(Message):
    """Outcome of an operator's command."""

    succeeded: bool
    text: str


@register_message(54)
class AuthenticateRequest(Message):
    """One message of an operator's SCRAM exchange."""

    operator: str
    data: str


@register_message(55)
class AuthenticateReply(Message):
    """The proxy's message of a SCRAM exchange."""

    data: str
