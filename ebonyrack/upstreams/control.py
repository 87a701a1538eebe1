"""A persistent connection for control queries to an upstream."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ebonyrack.core.clock import now_s
from ebonyrack.upstreams.connection import QueryResult
from ebonyrack.upstreams.connection import UpstreamConnection
from ebonyrack.upstreams.connection import UpstreamLostError
from ebonyrack.upstreams.opening import open_connection

if TYPE_CHECKING:
    from ebonyrack.config.sections import GroupSection
    from ebonyrack.core.address import Address


class ControlConnection:
    """A connection that runs control queries one at a time.

    It is opened by the first query and reopened by the next one after a loss.

    Attributes:
        address: Address of the upstream.
        section: Settings of the group: user, password and database.
        connection: The open connection, or None.
        lock: Held by the query in flight.
    """

    __slots__ = ("address", "section", "connection", "lock")

    def __init__(self, address: Address, section: GroupSection) -> None:
        self.address = address
        self.section = section
        self.connection: UpstreamConnection | None = None
        self.lock = asyncio.Lock()

    async def query(self, sql: str, timeout_s: float) -> QueryResult:
        """Run one query after the earlier ones have finished.

        Args:
            sql: Statement that returns one row.
            timeout_s: Seconds for waiting, connecting and the result together.

        Returns:
            The result, which has at least one row.

        Raises:
            UpstreamLostError: If no result arrived in time, or the upstream reported
                an error.
        """
        deadline_s = now_s() + timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                await self.lock.acquire()
        except TimeoutError:
            raise UpstreamLostError(
                f"the control connection to {self.address} is busy"
            ) from None
        try:
            return await self.run(sql, deadline_s)
        finally:
            self.lock.release()

    async def run(self, sql: str, deadline_s: float) -> QueryResult:
        """Run one query while holding the lock.

        Args:
            sql: Statement that returns one row.
            deadline_s: Monotonic time at which the query times out.

        Returns:
            The result, which has at least one row.

        Raises:
            UpstreamLostError: If no result arrived in time, or the upstream reported
                an error.
        """
        if self.connection is None or not self.connection.is_clean:
            self.close()
            self.connection = await open_connection(
                self.address,
                self.section.user,
                self.section.password,
                self.section.database,
                deadline_s - now_s(),
            )
        result = await self.connection.query(sql, deadline_s - now_s())
        if result.error is not None:
            text = result.error.get("M", "")
            raise UpstreamLostError(
                f"{self.address} reported an error: {text}", result.error.get("C", "")
            )
        if not result.rows:
            raise UpstreamLostError(f"{self.address} returned no row")
        return result

    def close(self) -> None:
        """Close the connection if it is open."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None
