"""Session values and prepared statements of a caller's session."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from functools import lru_cache

from msgspec import Struct
from msgspec import field

from ebonyrack.pooling.fair_order import never_leaves

# Callers prepare few distinct statements, each of them in many sessions.
NAME_CACHE_SIZE = 4096


class PreparedStatement(Struct, frozen=True):
    """A prepared statement.

    Attributes:
        text: The statement to execute.
        writes: Whether it writes.
    """

    text: bytes
    writes: bool

    @property
    def upstream_name(self) -> bytes:
        """Name on connections to upstreams, the same for all callers.

        Callers' own names collide, and sharing by text avoids repeated preparation.
        """
        return derive_statement_name(self.text, self.writes)


@lru_cache(maxsize=NAME_CACHE_SIZE)
def derive_statement_name(text: bytes, writes: bool) -> bytes:
    """Return the name of a prepared statement on connections to upstreams."""
    digest = hashlib.sha256(text).hexdigest()[:24]
    kind = "w" if writes else "r"
    return f"{kind}{digest}".encode()


class SessionContext(Struct):
    """Values and prepared statements of one caller's session.

    Attributes:
        values: Value by name.
        prepared: Prepared statement by the caller's name.
        account: Name of the client account; empty for anonymous callers.
        waited_s: Seconds for which the current request waited at another proxy that
            handed it to this one.
        has_left: Returns whether the caller has closed its session.
    """

    values: dict[bytes, bytes] = field(default_factory=dict)
    prepared: dict[bytes, PreparedStatement] = field(default_factory=dict)
    account: str = ""
    waited_s: float = 0.0
    has_left: Callable[[], bool] = never_leaves
