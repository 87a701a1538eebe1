"""What a caller has set and prepared in its session."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True, slots=True)
class PreparedStatement:
    """A prepared statement.

    Attributes:
        shape: What runs.
        writes: Whether it writes.
    """

    shape: bytes
    writes: bool

    @property
    def upstream_name(self) -> bytes:
        """Name on connections to upstreams, the same for all callers.

        Callers' own names collide, and sharing by shape spares preparing again.
        """
        digest = hashlib.sha256(self.shape).hexdigest()[:24]
        kind = "w" if self.writes else "r"
        return f"{kind}{digest}".encode()


@dataclass(slots=True)
class SessionNames:
    """Values and prepared statements of one caller's session.

    Attributes:
        values: Value by name.
        prepared: Prepared statement by the caller's name.
    """

    values: dict[bytes, bytes] = field(default_factory=dict)
    prepared: dict[bytes, PreparedStatement] = field(default_factory=dict)
