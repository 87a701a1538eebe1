"""Messages about which proxies are alive."""

from __future__ import annotations

from ebonyrack.peers.member import MemberField
from ebonyrack.peers.message import Message
from ebonyrack.peers.message import register_message


@register_message(10)
class Heartbeat(Message):
    """Heartbeat with piggybacked membership updates.

    Attributes:
        incarnation: The sender's incarnation.
        revision: Highest revision of the document that the sender runs.
        digest: Hash of the members that the sender does not consider dead.
        interval_ms: Milliseconds until the sender's next heartbeat.
        news: Changes of members that the receiver may not know.
    """

    incarnation: int
    revision: int
    digest: int
    interval_ms: int
    news: tuple[MemberField, ...] = ()


@register_message(11)
class AskMembers(Message):
    """Request for the whole table of members."""


@register_message(12)
class MembersReply(Message):
    """Every member that the sender knows."""

    members: tuple[MemberField, ...]


@register_message(13)
class AskReach(Message):
    """Request to probe a member; a receiver that is the member itself replies yes."""

    name: str


@register_message(14)
class ReachReply(Message):
    """Reply to `AskReach`."""

    is_reachable: bool


@register_message(15)
class Leaving(Message):
    """Announcement of a proxy that shuts down and accepts no new work from now on."""

    member: MemberField
