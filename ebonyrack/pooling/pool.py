"""Bounded pool of connections to one upstream."""

from __future__ import annotations

from typing import Generic
from typing import TypeVar

from loguru import logger

from ebonyrack.core.address import Address
from ebonyrack.core.clock import now_s
from ebonyrack.core.component import Component
from ebonyrack.pooling.connection_opener import OPEN_TIMEOUT_S
from ebonyrack.pooling.connection_opener import Connect
from ebonyrack.pooling.connection_opener import Connection
from ebonyrack.pooling.connection_opener import ConnectionOpener
from ebonyrack.pooling.connection_opener import build_not_accepting_error
from ebonyrack.pooling.fair_order import DEFAULT_TERMS
from ebonyrack.pooling.fair_order import Waiter
from ebonyrack.pooling.fair_order import WorkTerms
from ebonyrack.pooling.pool_queue import PoolQueue
from ebonyrack.pooling.pooled_connection import QueueSettings
from ebonyrack.pooling.upstream_lost import TOO_MANY_CONNECTIONS
from ebonyrack.pooling.upstream_lost import UpstreamLostError

Settings = TypeVar("Settings", bound=QueueSettings)


class Pool(PoolQueue[Connection], Component, Generic[Connection, Settings]):
    """Connections to one upstream, each used by one caller at a time.

    A request that is granted a connection slot holds it until `release`.

    Attributes:
        section: Settings of the queue and of the connections.
        opener: Opens connections until the pool stops accepting work.
    """

    __slots__ = ("section", "opener")

    def __init__(
        self,
        address: Address,
        section: Settings,
        limit: int,
        connect: Connect[Connection],
    ) -> None:
        super().__init__(address, limit, section.queue_limit)
        self.section = section
        self.opener = ConnectionOpener(address, connect)

    async def stop(self) -> None:
        """Refuse new work and close every connection, including those in use."""
        self.stop_new_work()
        self.size_limit.stop_raising()
        self.concurrency_limit.stop_raising()
        for connection in list(self.busy):
            connection.close()

    def estimate_wait(self, caller: str, account: str = "") -> float:
        """Return the expected wait of a new request for a connection, in seconds.

        Args:
            caller: Name of the requesting application.
            account: Client account that the connection must have been opened for.
        """
        opening_s = 0.0
        if account and self.find_idle(account) is None:
            opening_s = self.opener.opening_s
        if not self.queue and self.has_free_slot():
            return opening_s
        wait_s = self.queue.estimate_wait(caller, self.servers, None, account)
        return opening_s + wait_s

    async def acquire(
        self,
        caller: str,
        deadline_s: float,
        account: str | None = "",
        terms: WorkTerms = DEFAULT_TERMS,
    ) -> Connection:
        """Wait for a connection.

        Args:
            caller: Name of the requesting application.
            deadline_s: Monotonic time at which the request gives up.
            account: Client account that the connection must have been opened for, or
                empty for the proxy's own name. None accepts any connection, for the
                proxy's own requests.
            terms: How work of a client account is queued.

        Returns:
            A clean connection, held until `release`.

        Raises:
            RequestError: QUEUE_FULL or WAIT_TOO_LONG; nothing was sent.
            UpstreamLostError: If the pool accepts no work or the upstream can't be
                reached.
        """
        self.check_accepting()
        waiter = Waiter(caller, deadline_s, next(self.queue.arrivals), account, terms)
        if not self.queue and self.may_serve(waiter):
            connection = self.take_slot(account)
        else:
            self.queue.limit = self.section.queue_limit
            self.queue.add(waiter, self.servers)
            self.grant_slots()
            connection = await self.wait_for_grant(waiter)
        while connection is None:
            connection = await self.open_in_slot(waiter)
        if terms.begins_transaction:
            self.transactions.add(connection)
        return connection

    async def open_in_slot(self, waiter: Waiter) -> Connection | None:
        """Open a connection in a slot that is held.

        Args:
            waiter: The request that holds the slot.

        Returns:
            The connection, busy; None if another slot was granted after the upstream
            had refused the connection.

        Raises:
            RequestError: WAIT_TOO_LONG if the upstream has no connection to spare;
                QUEUE_FULL if the queue has filled up meanwhile.
            UpstreamLostError: If the upstream can't be reached.
        """
        started_s = now_s()
        try:
            connection = await self.open_connection(waiter)
        except UpstreamLostError as error:
            self.opening -= 1
            if error.sqlstate != TOO_MANY_CONNECTIONS or self.is_scarce:
                self.grant_slots()
                raise
            self.record_refusal()
        except BaseException:
            self.free_opening_slot()
            raise
        else:
            self.opening -= 1
            # Many requests of accounts open a connection, so that is part of the time
            # for which they hold a slot.
            self.busy[connection] = started_s if waiter.account else now_s()
            return self.check_opened(connection)
        return await self.wait_for_release(waiter)

    async def open_connection(self, waiter: Waiter) -> Connection:
        """Open a connection; it is not counted as busy yet.

        Args:
            waiter: The request, which holds a slot.

        Raises:
            RequestError: WAIT_TOO_LONG if connections are scarce and the upstream has
                had none to spare in time.
            UpstreamLostError: If the upstream can't be reached or refuses.
        """
        account = waiter.account or ""
        if not self.is_scarce or not waiter.terms.waits_for_room:
            return await self.opener.open(waiter.deadline_s, account)
        has_left = waiter.terms.has_left
        connection = await self.opener.retry_open(waiter.deadline_s, account, has_left)
        if connection is None:
            raise self.build_no_connection_error()
        return connection

    def check_opened(self, connection: Connection) -> Connection:
        """Release a new connection if the pool has stopped accepting work meanwhile.

        Args:
            connection: The connection, busy.

        Returns:
            The connection.

        Raises:
            UpstreamLostError: If the pool accepts no new work.
        """
        if not self.is_accepting:
            self.release(connection)
            self.check_accepting()
        return connection

    def record_refusal(self) -> None:
        """Lower the limit to the open connections, as the upstream refused another."""
        self.refused_at_s = now_s()
        self.size_limit.record_refusal(self.open_count)
        logger.bind(address=str(self.address), limit=self.current_limit).warning(
            "connection_limit_lowered"
        )

    def record_overload(self) -> None:
        """Lower the concurrency limit after the upstream refused a statement.

        It refuses a statement without executing it while its own queue is full. The
        limit becomes half the number of connections on which it works.
        """
        self.concurrency_limit.record_refusal(max(1, self.working_count // 2))

    async def wait_for_release(self, waiter: Waiter) -> Connection | None:
        """Wait for another slot after the upstream has refused a connection.

        Args:
            waiter: The request, which holds no slot any more.

        Returns:
            A connection, or None for a slot in which one has to be opened.

        Raises:
            RequestError: WAIT_TOO_LONG if there is no slot or none becomes free;
                QUEUE_FULL if the queue has filled up meanwhile.
            UpstreamLostError: If the pool stops accepting work.
        """
        self.check_accepting()
        if self.open_count == 0:
            self.queue.fail_all(self.build_no_connection_error)
            raise self.build_no_connection_error()
        self.queue.requeue(waiter, self.servers)
        self.grant_slots()
        return await self.wait_for_grant(waiter)

    def stop_new_work(self) -> None:
        """Refuse new work; connections in use may finish their statements."""
        self.is_accepting = False
        self.opener.cancel_attempts()
        self.close_idle()
        self.queue.fail_all(lambda: build_not_accepting_error(self.address))

    def resume_new_work(self) -> None:
        """Accept new work again."""
        self.is_accepting = True

    async def warm_up(self, count: int) -> int:
        """Open connections ahead of demand.

        Args:
            count: Number of connections that should be open, within the limit.

        Returns:
            Number of connections that are open, including those in use.

        Raises:
            UpstreamLostError: If the upstream can't be reached.
        """
        while self.is_accepting and self.open_count < min(count, self.current_limit):
            self.opening += 1
            try:
                connection = await self.opener.open(now_s() + OPEN_TIMEOUT_S, "")
            except UpstreamLostError as error:
                self.free_opening_slot()
                if error.sqlstate != TOO_MANY_CONNECTIONS:
                    raise
                self.record_refusal()
                break
            except BaseException:
                self.free_opening_slot()
                raise
            self.opening -= 1
            self.keep_or_close(connection)
            self.grant_slots()
        return self.open_count
