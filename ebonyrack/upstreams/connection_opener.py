"""Opens a pool's connections, in attempts that end when the pool stops."""

from __future__ import annotations

import asyncio

from ebonyrack.config.sections import GroupSection
from ebonyrack.core.address import Address
from ebonyrack.core.clock import now_s
from ebonyrack.upstreams.connection import UpstreamConnection
from ebonyrack.upstreams.connection import UpstreamLostError
from ebonyrack.upstreams.opening import open_connection

OPEN_TIMEOUT_S = 2.0


class ConnectionOpener:
    """Opens connections to one upstream.

    Attributes:
        address: Address of the upstream.
        attempts: Tasks that open connections.
    """

    __slots__ = ("address", "attempts")

    def __init__(self, address: Address) -> None:
        self.address = address
        self.attempts: set[asyncio.Task[UpstreamConnection]] = set()

    async def open(
        self, section: GroupSection, deadline_s: float
    ) -> UpstreamConnection:
        """Open a connection with the group's user.

        Args:
            section: Section of the database group.
            deadline_s: Monotonic time at which to give up.

        Returns:
            The connection.

        Raises:
            UpstreamLostError: If the upstream refuses or can't be reached, or the
                attempts were ended.
        """
        timeout_s = max(0.0, min(OPEN_TIMEOUT_S, deadline_s - now_s()))
        attempt = asyncio.create_task(
            open_connection(
                self.address,
                section.user,
                section.password,
                section.database,
                timeout_s,
            )
        )
        self.attempts.add(attempt)
        try:
            await asyncio.wait({attempt})
        except asyncio.CancelledError:
            await abandon_attempt(attempt)
            raise
        finally:
            self.attempts.discard(attempt)
        if attempt.cancelled():
            raise build_stopped(self.address)
        return attempt.result()

    def end_attempts(self) -> None:
        """End every attempt."""
        for attempt in self.attempts:
            attempt.cancel()


async def abandon_attempt(attempt: asyncio.Task[UpstreamConnection]) -> None:
    """End an attempt whose caller gave up.

    Args:
        attempt: The task that opens the connection.
    """
    attempt.cancel()
    await asyncio.wait({attempt})
    if not attempt.cancelled() and attempt.exception() is None:
        attempt.result().close()


def build_stopped(address: Address) -> UpstreamLostError:
    """Build the error for work that comes while a pool takes none.

    Args:
        address: Address of the upstream.
    """
    return UpstreamLostError(f"{address} takes no new work")
