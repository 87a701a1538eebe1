"""Routes: from the name of a database to its group and read rules."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum

from msgspec import Struct

from ebonyrack.routes.account import ClientAccount


class Consistency(StrEnum):
    """What the reads of a route must see."""

    PRIMARY = "primary"
    STATED_AGE = "stated_age"
    READ_YOUR_WRITES = "read_your_writes"


class Route(Struct, frozen=True):
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
        allows_anonymous: Whether callers without the key of an account are served.
    """

    database: bytes
    group: str
    consistency: Consistency
    statement_timeout_s: float
    target_latency_s: float
    priority: int
    maximum_age_s: float
    allows_anonymous: bool = True


class GroupLimits(Struct, frozen=True):
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
        accounts: Client account by name; empty where the operators have none.
        account_names: Name of the account by digest of each of its keys.
        requires_accounts: Whether the operators' document has client accounts.
        transaction_idle_s: Idle time after which a transaction may be ended, in
            seconds.
        message_timeout_s: Time limit for the first message of a caller, and for the
            rest of a later one that has begun to arrive, in seconds.
    """

    version: int
    routes: dict[bytes, Route] = field(default_factory=dict)
    groups: dict[str, GroupLimits] = field(default_factory=dict)
    accounts: dict[str, ClientAccount] = field(default_factory=dict)
    account_names: dict[bytes, str] = field(default_factory=dict, repr=False)
    requires_accounts: bool = False
    transaction_idle_s: float = 3.0
    message_timeout_s: float = 3.0

    def find_account(self, key_digest: bytes) -> ClientAccount | None:
        """Return the account that holds a key, or None.

        Args:
            key_digest: Digest of the key, see `digest_key`.
        """
        name = self.account_names.get(key_digest)
        return self.accounts[name] if name is not None else None


EMPTY_TABLE = RouteTable(0)
