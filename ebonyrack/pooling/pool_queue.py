"""The requests that wait for a slot of a connection pool, and the grants to them."""

from __future__ import annotations

import asyncio

from ebonyrack.core.address import Address
from ebonyrack.core.clock import now_s
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.pooling.admission import AdmissionQueue
from ebonyrack.pooling.connection_opener import Connection
from ebonyrack.pooling.connection_opener import build_not_accepting_error
from ebonyrack.pooling.fair_order import Waiter
from ebonyrack.pooling.pool_slots import PoolSlots


class PoolQueue(PoolSlots[Connection]):
    """Slots of a pool and the requests that wait for them.

    Attributes:
        address: Address of the upstream.
        queue: Requests that wait for a slot.
        transactions: Connections that are held for transactions of client accounts.
    """

    __slots__ = ("address", "queue", "transactions")

    def __init__(self, address: Address, limit: int, queue_limit: int) -> None:
        super().__init__(limit)
        self.address = address
        self.queue = AdmissionQueue(queue_limit)
        self.transactions: set[Connection] = set()

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self.queue)

    def set_weights(self, weights: dict[str, int]) -> None:
        """Set the weights of the applications in the queue.

        Args:
            weights: Weight by name of the application; others count 1.
        """
        self.queue.weights = weights

    def check_accepting(self) -> None:
        """Raise UpstreamLostError while the pool accepts no new work."""
        if not self.is_accepting:
            raise build_not_accepting_error(self.address)

    def may_serve(self, waiter: Waiter) -> bool:
        """Return whether there is a free slot that a request may take."""
        return self.has_free_slot(waiter.account, waiter.terms.begins_transaction)

    def grant_slots(self) -> None:
        """Serve waiters as long as there are free slots that they may take."""
        if self.queue:
            self.queue.refuse_hopeless(self.servers)
        while self.queue and self.is_accepting and self.has_free_slot():
            waiter = self.queue.pop(self.may_serve)
            if waiter is None or waiter.granted is None:
                return
            granted = waiter.granted
            if not granted.done():
                granted.set_result(self.take_slot(waiter.account))

    async def wait_for_grant(self, waiter: Waiter) -> Connection | None:
        """Wait until a slot is granted, up to the waiter's deadline.

        Args:
            waiter: The queued waiter.

        Returns:
            A connection, or None for a slot in which one has to be opened.

        Raises:
            RequestError: WAIT_TOO_LONG at the deadline; QUEUE_FULL if the request was
                refused in favour of another.
            UpstreamLostError: If the pool stops accepting work.
        """
        assert waiter.granted is not None
        try:
            async with asyncio.timeout(waiter.deadline_s - now_s()):
                connection: Connection | None = await waiter.granted
        except TimeoutError:
            self.return_grant(waiter)
            raise self.queue.build_refusal(
                ErrorKind.WAIT_TOO_LONG,
                "the deadline passed",
                self.servers,
                waiter.account,
            ) from None
        except asyncio.CancelledError:
            self.return_grant(waiter)
            raise
        return connection

    def return_grant(self, waiter: Waiter) -> None:
        """Return the slot of a waiter that gives up, if it was granted one.

        Args:
            waiter: The waiter.
        """
        self.queue.discard(waiter)
        granted = waiter.granted
        if granted is None or not granted.done():
            return
        if granted.cancelled() or granted.exception() is not None:
            return
        connection = granted.result()
        if connection is None:
            self.free_opening_slot()
        else:
            self.release(connection)

    def free_opening_slot(self) -> None:
        """Free the slot of a connection that was not opened."""
        self.opening -= 1
        self.grant_slots()

    def build_no_connection_error(self) -> RequestError:
        """Build the refusal for an upstream that has no connection to spare."""
        return self.queue.build_refusal(
            ErrorKind.WAIT_TOO_LONG, "the upstream has no connection to spare", 1
        )

    def build_refusal(
        self, kind: ErrorKind, reason: str, account: str = ""
    ) -> RequestError:
        """Build a refusal whose retry-after time follows from the queue.

        Args:
            kind: Kind of refusal.
            reason: Why the request is refused.
            account: Client account of the request; empty for none.
        """
        return self.queue.build_refusal(kind, reason, self.servers, account)

    def release(self, connection: Connection) -> None:
        """Return a connection to the pool; close it if it is not clean.

        Args:
            connection: A connection from `acquire`.

        Raises:
            ValueError: If the connection is not in use.
        """
        if connection not in self.busy:
            raise ValueError("the connection is not in use")
        granted_at_s = self.busy.pop(connection)
        is_transaction = connection in self.transactions
        self.transactions.discard(connection)
        # The hold time of a connection that broke says nothing about service times.
        if connection.is_clean:
            self.queue.record_service_time(now_s() - granted_at_s, is_transaction)
        self.keep_or_close(connection)
        self.grant_slots()
        if not self.keeps_idle_connections:
            self.close_idle()
