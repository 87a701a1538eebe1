"""The places of a connection pool: idle, busy and opening connections."""

from __future__ import annotations

from typing import Generic

from ebonyrack.core.clock import now_s
from ebonyrack.pooling.connection_limit import REFUSED_LIMIT_S
from ebonyrack.pooling.connection_limit import ConnectionLimit
from ebonyrack.pooling.connection_opener import Connection

# Connections above the limit while transactions rest. The shares of all proxies leave
# some of those that an upstream accepts.
BORROWED_CONNECTIONS = 1


class PoolSlots(Generic[Connection]):
    """Connections that count against the limit of one upstream.

    A place is an idle, busy or opening connection; there are never more places than
    the limit allows, except for what `may_borrow` says.

    Attributes:
        size_limit: Largest number of places, now and without refusals.
        concurrency_limit: Largest number of connections on which the upstream works
            at once, lowered while it turns statements away as its own queue is full.
        idle: Connections that nobody uses, the one used last at the end.
        busy: Connections in use, with the monotonic time of the grant.
        idle_since_s: Monotonic time since which each idle connection is unused.
        opening: Number of connections being opened.
        is_accepting: Whether new work is taken.
        keeps_idle_connections: Whether a connection stays open that nobody waits for.
        refused_at_s: Monotonic time at which the upstream last refused a connection.
    """

    __slots__ = (
        "size_limit",
        "concurrency_limit",
        "idle",
        "busy",
        "idle_since_s",
        "opening",
        "is_accepting",
        "keeps_idle_connections",
        "refused_at_s",
    )

    def __init__(self, limit: int) -> None:
        self.size_limit = ConnectionLimit(limit, self.grant_slots)
        self.concurrency_limit = ConnectionLimit(limit, self.grant_slots)
        self.idle: list[Connection] = []
        self.busy: dict[Connection, float] = {}
        self.idle_since_s: dict[Connection, float] = {}
        self.opening = 0
        self.is_accepting = True
        self.keeps_idle_connections = True
        self.refused_at_s = float("-inf")

    @property
    def limit(self) -> int:
        """Largest number of places without refusals of the upstream."""
        return self.size_limit.limit

    @property
    def current_limit(self) -> int:
        """Largest number of places now."""
        return self.size_limit.current

    @property
    def servers(self) -> int:
        """Connections that may be used at once now."""
        return min(self.size_limit.current, self.concurrency_limit.current)

    @property
    def working_count(self) -> int:
        """Connections on which the upstream works, or that are being opened."""
        return self.opening + sum(not each.is_idle_in_transaction for each in self.busy)

    @property
    def open_count(self) -> int:
        """Places held: idle, busy and opening connections."""
        return len(self.idle) + len(self.busy) + self.opening

    @property
    def idle_count(self) -> int:
        """Connections that nobody uses."""
        return len(self.idle)

    @property
    def busy_count(self) -> int:
        """Connections in use or being opened for a caller."""
        return len(self.busy) + self.opening

    def grant_slots(self) -> None:
        """Serve waiters as long as there are places; the pool knows them."""
        raise NotImplementedError

    def has_free_slot(self) -> bool:
        """Whether a caller can be served without waiting for a release."""
        if self.working_count >= self.concurrency_limit.current:
            return False
        self.drop_lost_idle()
        if self.idle or self.open_count < self.current_limit:
            return True
        return self.may_borrow()

    def may_borrow(self) -> bool:
        """Whether a connection above the limit may be opened, as transactions rest.

        Callers that begin, write and rest would else keep all others out. It is closed
        as it comes back. An upstream that refused a connection is spared the question.
        """
        if now_s() - self.refused_at_s < REFUSED_LIMIT_S:
            return False
        has_idle_transaction = any(each.is_idle_in_transaction for each in self.busy)
        return (
            has_idle_transaction and self.open_count < self.limit + BORROWED_CONNECTIONS
        )

    def drop_lost_idle(self) -> None:
        """Forget idle connections that have ended meanwhile."""
        if all(connection.is_clean for connection in self.idle):
            return
        for connection in self.idle:
            if not connection.is_clean:
                connection.close()
        self.idle = [connection for connection in self.idle if connection.is_clean]
        self.idle_since_s = {
            each: self.idle_since_s.get(each, 0.0) for each in self.idle
        }

    def take_slot(self) -> Connection | None:
        """Take an idle connection, or the place of one to be opened (None)."""
        if not self.idle:
            self.opening += 1
            return None
        connection = self.idle.pop()
        self.idle_since_s.pop(connection, None)
        self.busy[connection] = now_s()
        return connection

    def keep_or_close(self, connection: Connection) -> None:
        """Keep a connection that nobody uses, or close it.

        Args:
            connection: The connection, counted in no place.
        """
        has_room = self.open_count < self.current_limit
        if self.is_accepting and has_room and connection.is_clean:
            self.idle.append(connection)
            self.idle_since_s[connection] = now_s()
        else:
            connection.close()

    def close_idle(self) -> None:
        """Close the connections that nobody uses."""
        for connection in self.idle:
            connection.close()
        self.idle = []
        self.idle_since_s.clear()

    def trim_idle(self, kept: int, unused_s: float) -> None:
        """Close connections above a number that nobody has used for a time.

        Args:
            kept: Connections that stay open however long they are unused.
            unused_s: Seconds after which others are closed.
        """
        limit_s = now_s() - unused_s
        while self.idle and self.open_count > kept:
            if self.idle_since_s.get(self.idle[0], 0.0) > limit_s:
                return
            self.drop_oldest()

    def drop_oldest(self) -> None:
        """Close the idle connection that is unused for longest."""
        connection = self.idle.pop(0)
        self.idle_since_s.pop(connection, None)
        connection.close()

    def resize(self, limit: int) -> None:
        """Change the limit; busy connections above it close as they come back.

        Args:
            limit: New largest number of connections; at least 1 is kept.
        """
        self.size_limit.limit = max(1, limit)
        self.concurrency_limit.limit = max(1, limit)
        while self.idle and self.open_count > self.limit:
            self.drop_oldest()
        self.grant_slots()
