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
    """Settings for the callers of one database.

    Attributes:
        database: Name by which callers request it.
        group: Database group that serves it.
        consistency: What its reads must see.
        statement_timeout_s: Time limit of one statement, in seconds.
        target_latency_s: Latency target of a whole operation, in seconds.
        priority: 0 is served first.
        maximum_age_s: Maximum staleness of reads in seconds, where the consistency
            allows staleness.
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
    """The operators' settings of a database group.

    Attributes:
        name: Name of the group.
        maximum_connections: Connections that each upstream accepts in total.
        acknowledging_replicas: Number of replicas that receive a commit before it is
            acknowledged.
    """

    name: str
    maximum_connections: int
    acknowledging_replicas: int


@dataclass(frozen=True, slots=True)
class RouteTable:
    """One version of the operators' routes.

    Attributes:
        version: Version number; 0 is the empty table.
        routes: Route by name of the database.
        groups: Limits by name of the group.
        transaction_idle_s: Idle time after which a transaction may be ended, in
            seconds.
        startup_timeout_s: Time limit for the first message of a caller, in seconds.
    """

    version: int
    routes: dict[bytes, Route] = field(default_factory=dict)
    groups: dict[str, GroupLimits] = field(default_factory=dict)
    transaction_idle_s: float = 3.0
    startup_timeout_s: float = 3.0


EMPTY_TABLE = RouteTable(0)
