"""The places of a connection pool: idle, busy and opening connections."""

from __future__ import annotations

from typing import Generic

from ebonyrack.core.clock import now_s
from ebonyrack.pooling.connection_limit import ConnectionLimit
from ebonyrack.pooling.connection_opener import Connection


class PoolPlaces(Generic[Connection]):
    """Connections that count against the limit of one upstream.

    A place is an idle, busy or opening connection; there are never more places than
    the limit allows.

    Attributes:
        limits: Largest number of places, now and without refusals.
        idle: Connections that nobody uses, the one used last at the end.
        busy: Connections in use, with the monotonic time of the grant.
        opening: Number of connections being opened.
        is_accepting: Whether new work is taken.
    """

    __slots__ = ("limits", "idle", "busy", "opening", "is_accepting")

    def __init__(self, limit: int) -> None:
        self.limits = ConnectionLimit(limit, self.grant_places)
        self.idle: list[Connection] = []
        self.busy: dict[Connection, float] = {}
        self.opening = 0
        self.is_accepting = True

    @property
    def limit(self) -> int:
        """Largest number of places without refusals of the upstream."""
        return self.limits.limit

    @property
    def present_limit(self) -> int:
        """Largest number of places now."""
        return self.limits.present

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

    def grant_places(self) -> None:
        """Serve waiters as long as there are places; the pool knows them."""
        raise NotImplementedError

    def has_place(self) -> bool:
        """Whether a caller can be served without waiting for a release."""
        self.drop_lost_idle()
        return bool(self.idle) or self.open_count < self.present_limit

    def drop_lost_idle(self) -> None:
        """Forget idle connections that have ended meanwhile."""
        if all(connection.is_clean for connection in self.idle):
            return
        for connection in self.idle:
            if not connection.is_clean:
                connection.close()
        self.idle = [connection for connection in self.idle if connection.is_clean]

    def take_place(self) -> Connection | None:
        """Take an idle connection, or the place of one to be opened (None)."""
        if not self.idle:
            self.opening += 1
            return None
        connection = self.idle.pop()
        self.busy[connection] = now_s()
        return connection

    def keep_or_close(self, connection: Connection) -> None:
        """Keep a connection that nobody uses, or close it.

        Args:
            connection: The connection, counted in no place.
        """
        has_room = self.open_count < self.present_limit
        if self.is_accepting and has_room and connection.is_clean:
            self.idle.append(connection)
        else:
            connection.close()

    def close_idle(self) -> None:
        """Close the connections that nobody uses."""
        for connection in self.idle:
            connection.close()
        self.idle = []

    def resize(self, limit: int) -> None:
        """Change the limit; busy connections above it close as they come back.

        Args:
            limit: New largest number of connections; at least 1 is kept.
        """
        self.limits.limit = max(1, limit)
        while self.idle and self.open_count > self.limit:
            self.idle.pop(0).close()
        self.grant_places()
