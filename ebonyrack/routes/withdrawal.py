"""Whether a session may still act for the client account under which it was opened."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from ebonyrack.routes.account import ANONYMOUS
from ebonyrack.routes.route import RouteTable


@dataclass(frozen=True, slots=True)
class SessionIdentity:
    """On whose behalf a session was opened.

    Attributes:
        database: Name of the database.
        key_digest: Digest of the key that the caller showed.
        account: Name of the account that held the key; empty for an anonymous caller.
    """

    database: bytes
    key_digest: bytes = field(repr=False)
    account: str


def find_withdrawal(table: RouteTable, identity: SessionIdentity) -> str | None:
    """Return why a session may run no further work, or None if it may.

    A removed route ends no transaction, so it is no reason here.

    Args:
        table: The version in force.
        identity: On whose behalf the session was opened.
    """
    holder = table.account_names.get(identity.key_digest, ANONYMOUS)
    if holder != identity.account:
        if holder == ANONYMOUS:
            return f"the key is not in force in version {table.version}"
        return f"the key belongs to another account in version {table.version}"
    route = table.routes.get(identity.database)
    if holder == ANONYMOUS and route is not None and not route.allows_anonymous:
        return f"the route needs a key in version {table.version}"
    return None
