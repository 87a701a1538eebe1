"""What an upstream reports about itself."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from ebonyrack.core.position import LogPosition


class Role(StrEnum):
    """Role of an upstream in its database group."""

    PRIMARY = "primary"
    REPLICA = "replica"


@dataclass(frozen=True, slots=True)
class UpstreamStatus:
    """An upstream's reply to a poll.

    Attributes:
        role: Whether it accepts writes or follows a primary.
        term: Term in which it is primary, or term of the primary it follows.
        fenced_term: Highest term that it has granted.
        received: Position of the last entry in its log.
        applied: Position of the last entry visible to reads.
        leaving: Whether it is about to leave the group.
        silence_s: Seconds since a replica last received anything from the primary that
            it follows; None on a primary or if the upstream does not measure it.
    """

    role: Role
    term: int
    fenced_term: int
    received: LogPosition
    applied: LogPosition
    leaving: bool
    silence_s: float | None = None
