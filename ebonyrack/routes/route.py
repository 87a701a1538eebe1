"""Routes: from the name of a database to its group and read rules."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum


class Consistency(StrEnum):
    """What the reads of a route must see."""

    PRIMARY = "primary"
    STATED_AGE = "stated_age"
    READ_YOUR_WRITES = "read_your_writes"


@dataclass(frozen=True, slots=True)
class Route:
    """How the callers of one database are served.

    Attributes:
        database: Name by which callers ask for it.
        group: Database group that serves it.
        consistency: What its reads must see.
        statement_timeout_s: Longest time of one statement, in seconds.
        target_latency_s: Time in which a whole operation should end, in seconds.
        priority: 0 is served first.
        maximum_age_s: Commits younger than this may be missing from a read, where
            the consistency allows that, in seconds.
    """

    database: bytes
    group: str
    consistency: Consistency
    statement_timeout_s: float
    target_latency_s: float
    priority: int
    maximum_age_s: float


@dataclass(frozen=True, slots=True)
class GroupLimits:
    """What the operators say of a database group.

    Attributes:
        name: Name of the group.
        maximum_connections: Connections that each upstream accepts from everyone.
        acknowledging_replicas: Replicas that receive a commit before it is
            acknowledged.
    """

    name: str
    maximum_connections: int
    acknowledging_replicas: int


@dataclass(frozen=True, slots=True)
class RouteTable:
    """One version of the operators' routes.

    Attributes:
        version: Number of the version; 0 is the empty table.
        routes: Route by name of the database.
        groups: Limits by name of the group.
        transaction_idle_s: Idle time after which a transaction may be ended.
        startup_timeout_s: Longest wait for the first message of a caller.
    """

    version: int
    routes: dict[bytes, Route] = field(default_factory=dict)
    groups: dict[str, GroupLimits] = field(default_factory=dict)
    transaction_idle_s: float = 3.0
    startup_timeout_s: float = 3.0


EMPTY_TABLE = RouteTable(0)
