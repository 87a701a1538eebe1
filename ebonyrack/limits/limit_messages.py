"""Messages by which proxies ask the owner of an account's limit for grants."""

from __future__ import annotations

from ebonyrack.peers.message import Message
from ebonyrack.peers.message import register_message


@register_message(200)
class AskGrants(Message):
    """Question for grants of operations, for several accounts at once.

    Attributes:
        asker: Name of the asking process, unique for each of its starts.
        number: Number of the question; grows with each question of the process.
        shard: Shard that all the accounts belong to.
        version: Version of the configuration that the asker runs.
        needed: Operations that wait for a grant, by name of the account.
        wanted: Operations wanted in total, by name of the account.
        unused: Unused grants by name of the account: pairs of the number of the
            question that they answered, and how many.
        limits: Rate and burst by name of the account, if the owner may not know the
            asker's version.
    """

    asker: str
    number: int
    shard: int
    version: int
    needed: dict[str, int]
    wanted: dict[str, int]
    unused: dict[str, list[list[int]]]
    limits: dict[str, list[float]]


@register_message(201)
class GrantsReply(Message):
    """Reply of the owner.

    Attributes:
        is_owner: Whether the replying process owns the shard; else nothing is granted.
        version: Version of the configuration that the owner runs.
        counts: Granted operations by name of the account.
        validity_s: Seconds for which they may be used, counted from before the
            question was sent, by name of the account.
        due_s: Seconds until a grant may be available, by name of each account that got
            fewer than it needs.
    """

    is_owner: bool
    version: int
    counts: dict[str, int]
    validity_s: dict[str, float]
    due_s: dict[str, float]


NOT_THE_OWNER = GrantsReply(False, 0, {}, {}, {})
