"""Pool of PostgreSQL connections to one upstream."""

from __future__ import annotations

from ebonyrack.config.sections import GroupSection
from ebonyrack.core.address import Address
from ebonyrack.pooling.pool import Pool
from ebonyrack.upstreams.connection import UpstreamConnection
from ebonyrack.upstreams.opening import open_connection


class ConnectionPool(Pool[UpstreamConnection, GroupSection]):
    """Connections to one upstream, opened with the group's credentials."""

    __slots__ = ()

    def __init__(self, address: Address, section: GroupSection, limit: int) -> None:
        super().__init__(address, section, limit, self.connect)

    async def connect(self, timeout_s: float, account: str) -> UpstreamConnection:
        """Open a connection with the credentials of the group.

        Args:
            timeout_s: Seconds for connecting and starting the session.
            account: Empty; PostgreSQL callers have no client accounts.

        Returns:
            The connection, idle.

        Raises:
            UpstreamLostError: If the session is rejected, lost or not ready in time.
        """
        section = self.section
        return await open_connection(
            self.address, section.user, section.password, section.database, timeout_s
        )
