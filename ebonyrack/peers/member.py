"""A proxy as its peers know it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Annotated

from pydantic import BeforeValidator

from ebonyrack.core.ini import AddressField
from ebonyrack.peers.message import Message
from ebonyrack.peers.message import read_fields


class MemberState(IntEnum):
    """State of a member; at equal incarnations the higher number overrides."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3


@dataclass(frozen=True, slots=True)
class Member(Message):
    """A proxy as its peers know it.

    Attributes:
        name: Name from its settings.
        address: Its peer address.
        data_centre: Its data centre.
        region: Its region.
        incarnation: Number that only the member itself raises.
        state: State in that incarnation.
    """

    name: str
    address: AddressField
    data_centre: str
    region: str
    incarnation: int
    state: MemberState


MemberField = Annotated[Member, BeforeValidator(read_fields)]
