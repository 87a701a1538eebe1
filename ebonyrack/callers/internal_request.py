"""Transaction control that the proxy sends on its own, invisible to the caller."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ebonyrack.callers.answers import build_query
from ebonyrack.callers.exchange import SWALLOWED_STEP
from ebonyrack.callers.exchange import Exchange

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ebonyrack.upstreams.connection import UpstreamConnection


@dataclass(frozen=True, slots=True)
class InternalRequest:
    """A statement of the proxy whose answer is not relayed to the caller.

    Attributes:
        sql: The statement.
    """

    sql: str

    def render(self, connection: UpstreamConnection) -> Exchange:
        """Build the exchange, the same for every connection."""
        return Exchange(build_query(self.sql), deque([SWALLOWED_STEP]))

    @property
    def answer_format(self) -> bytes:
        """Empty, because its answer is never recorded under an idempotency key."""
        return b""

    def build_replay(self, tags: Sequence[str], frames: Sequence[bytes] = ()) -> bytes:
        """Build an empty answer."""
        return b""


INTERNAL_BEGIN_SQL = "BEGIN"
INTERNAL_COMMIT = InternalRequest("COMMIT")
INTERNAL_ROLLBACK = InternalRequest("ROLLBACK")
