"""The slots of a connection pool: idle, busy and opening connections."""

from __future__ import annotations

from typing import Generic

from ebonyrack.core.clock import now_s
from ebonyrack.pooling.connection_limit import REFUSAL_HOLD_S
from ebonyrack.pooling.connection_limit import ConnectionLimit
from ebonyrack.pooling.connection_opener import Connection
from ebonyrack.pooling.transaction_reserve import may_take_last

# Connections above the limit while transactions are idle. An upstream accepts some more
# connections than the shares of all proxies add up to.
MAXIMUM_OVERFLOW_CONNECTIONS = 1


class PoolSlots(Generic[Connection]):
    """Connections that count against the limit of one upstream.

    A slot is held by an idle, busy or opening connection. The pool never holds more
    slots than the limit, except for the overflow that `may_overflow` allows.

    Attributes:
        size_limit: Largest number of slots, now and without refusals.
        concurrency_limit: Largest number of connections on which the upstream works
            at once, lowered while it refuses statements because its own queue is full.
        idle: Connections not in use, the most recently used one last.
        busy: Connections in use, with the monotonic time of the grant.
        idle_since_s: Monotonic time since which each idle connection is unused.
        opening: Number of connections being opened.
        is_accepting: Whether new work is accepted.
        keeps_idle_connections: Whether released connections stay open while nobody
            waits for one.
        is_scarce: Whether the upstream can't accept a connection from every proxy, so
            that a refused one is soon tried again.
        refused_at_s: Monotonic time at which the upstream last refused a connection.
        allows_overflow: Whether a connection above the limit may be opened.
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
        "is_scarce",
        "refused_at_s",
        "allows_overflow",
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
        self.is_scarce = False
        self.refused_at_s = float("-inf")
        self.allows_overflow = True

    @property
    def limit(self) -> int:
        """Largest number of slots without refusals by the upstream."""
        return self.size_limit.limit

    @property
    def current_limit(self) -> int:
        """Largest number of slots now."""
        return self.size_limit.current

    @property
    def servers(self) -> int:
        """Number of connections that serve requests now.

        Those in which a caller of a client account rests serve nobody else.
        """
        resting = sum(bool(each.account) for each in self.list_resting())
        free = max(1, self.size_limit.current - resting)
        return min(free, self.concurrency_limit.current)

    @property
    def working_count(self) -> int:
        """Number of connections being opened or on which the upstream works."""
        return self.opening + sum(not each.is_idle_in_transaction for each in self.busy)

    @property
    def open_count(self) -> int:
        """Number of slots held by idle, busy and opening connections."""
        return len(self.idle) + len(self.busy) + self.opening

    @property
    def idle_count(self) -> int:
        """Number of connections not in use."""
        return len(self.idle)

    @property
    def busy_count(self) -> int:
        """Number of connections in use or being opened."""
        return len(self.busy) + self.opening

    def grant_slots(self) -> None:
        """Serve waiters as long as there are free slots; implemented by the pool."""
        raise NotImplementedError

    def list_resting(self) -> list[Connection]:
        """Return the connections in whose transactions the callers rest."""
        return [each for each in self.busy if each.is_idle_in_transaction]

    def has_free_slot(
        self, account: str | None = None, begins_transaction: bool = False
    ) -> bool:
        """Whether a request can be served without waiting for a release.

        Args:
            account: Its client account, or None for no bound by account.
            begins_transaction: Whether it begins a transaction.
        """
        if self.working_count >= self.concurrency_limit.current:
            return False
        self.remove_lost_idle()
        free = len(self.idle) + max(0, self.current_limit - self.open_count)
        if free > 1 or not account:
            return free > 0 or self.may_overflow()
        resting = sum(each.account == account for each in self.list_resting())
        may_use_last = may_take_last(begins_transaction, resting)
        if free == 1:
            return may_use_last or not self.was_refused_lately
        return may_use_last and self.may_overflow()

    @property
    def was_refused_lately(self) -> bool:
        """Whether the upstream refused a connection a short time ago."""
        return now_s() - self.refused_at_s < REFUSAL_HOLD_S

    def may_overflow(self) -> bool:
        """Whether a connection above the limit may be opened.

        This is allowed while a transaction is idle; otherwise callers that begin, write
        and then stay idle would block all others. The extra connection is closed when
        it is released. None is opened shortly after the upstream has refused one.
        """
        if self.was_refused_lately or not self.allows_overflow:
            return False
        return (
            bool(self.list_resting())
            and self.open_count < self.limit + MAXIMUM_OVERFLOW_CONNECTIONS
        )

    def remove_lost_idle(self) -> None:
        """Remove idle connections that have been lost meanwhile."""
        if all(connection.is_clean for connection in self.idle):
            return
        for connection in self.idle:
            if not connection.is_clean:
                connection.close()
        self.idle = [connection for connection in self.idle if connection.is_clean]
        self.idle_since_s = {
            each: self.idle_since_s.get(each, 0.0) for each in self.idle
        }

    def take_slot(self, account: str | None) -> Connection | None:
        """Take an idle connection, or a slot in which to open one (None).

        An idle connection of another account is closed if all slots are in use.

        Args:
            account: Client account that the connection must have been opened for; None
                accepts any connection.
        """
        connection = self.find_idle(account)
        if connection is None:
            if self.idle and self.open_count >= self.current_limit:
                self.close_oldest_idle()
            self.opening += 1
            return None
        self.idle.remove(connection)
        self.idle_since_s.pop(connection, None)
        self.busy[connection] = now_s()
        return connection

    def find_idle(self, account: str | None) -> Connection | None:
        """Return the most recently used idle connection of an account, or None.

        Args:
            account: The client account; None for any.
        """
        for connection in reversed(self.idle):
            if account is None or connection.account == account:
                return connection
        return None

    def keep_or_close(self, connection: Connection) -> None:
        """Keep a connection as an idle one, or close it.

        Args:
            connection: The connection, which holds no slot.
        """
        has_room = self.open_count < self.current_limit
        if self.is_accepting and has_room and connection.is_clean:
            self.idle.append(connection)
            self.idle_since_s[connection] = now_s()
        else:
            connection.close()

    def close_idle(self) -> None:
        """Close all idle connections."""
        for connection in self.idle:
            connection.close()
        self.idle = []
        self.idle_since_s.clear()

    def trim_idle(self, kept: int, unused_s: float) -> None:
        """Close idle connections that have been unused for too long.

        Args:
            kept: Number of connections that stay open however long they are unused.
            unused_s: Seconds without use after which others are closed.
        """
        cutoff_s = now_s() - unused_s
        while self.idle and self.open_count > kept:
            if self.idle_since_s.get(self.idle[0], 0.0) > cutoff_s:
                return
            self.close_oldest_idle()

    def close_oldest_idle(self) -> None:
        """Close the idle connection that has been unused for longest."""
        connection = self.idle.pop(0)
        self.idle_since_s.pop(connection, None)
        connection.close()

    def resize(self, limit: int) -> None:
        """Change the limit; busy connections above it are closed when released.

        Args:
            limit: New largest number of connections; at least 1 is kept.
        """
        self.size_limit.limit = max(1, limit)
        self.concurrency_limit.limit = max(1, limit)
        while self.idle and self.open_count > self.limit:
            self.close_oldest_idle()
        self.grant_slots()
