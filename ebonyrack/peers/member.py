"""Description of a proxy that its peers exchange."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from enum import IntEnum
from typing import Annotated

from pydantic import BeforeValidator

from ebonyrack.core.ini import AddressField
from ebonyrack.peers.message import Message
from ebonyrack.peers.validation import read_fields

DIGEST_BYTES = 8


class MemberState(IntEnum):
    """State of a member; at equal incarnations the higher number overrides."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3


@dataclass(frozen=True, slots=True)
class Member(Message):
    """A proxy as described to its peers.

    Attributes:
        name: Name from its settings.
        address: Its peer address.
        data_centre: Its data centre.
        region: Its region.
        incarnation: Number that only the member itself increases.
        state: State in that incarnation.
    """

    name: str
    address: AddressField
    data_centre: str
    region: str
    incarnation: int
    state: MemberState


MemberField = Annotated[Member, BeforeValidator(read_fields)]


def is_live(member: Member) -> bool:
    """Return whether a member accepts work; a suspect one does until it is dead."""
    return member.state in (MemberState.ALIVE, MemberState.SUSPECT)


def hash_member(member: Member) -> int:
    """Hash the parts of a member that peers compare; 0 for a dead one.

    The hashes of similar texts must not cancel each other out when combined by
    XOR. Those of a cyclic redundancy check would: it is linear, so four proxies
    whose names differ in one digit and that started together can combine to 0.
    """
    if member.state is MemberState.DEAD:
        return 0
    is_leaving = member.state is MemberState.LEAVING
    text = f"{member.name} {member.incarnation} {is_leaving}"
    digest = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")


def is_newer(offered: Member, known: Member) -> bool:
    """Return whether a description overrides another of the same member."""
    if offered.incarnation != known.incarnation:
        return offered.incarnation > known.incarnation
    return offered.state > known.state
