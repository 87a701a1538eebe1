"""Opens a pool's connections, in attempts that the pool can cancel."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Generic
from typing import TypeVar

from ebonyrack.core.address import Address
from ebonyrack.core.clock import now_s
from ebonyrack.pooling.pooled_connection import PooledConnection
from ebonyrack.pooling.upstream_lost import TOO_MANY_CONNECTIONS
from ebonyrack.pooling.upstream_lost import UpstreamLostError

OPEN_TIMEOUT_S = 2.0
# Range of the pause before another try at a scarce connection, in seconds; statements
# hold theirs for some ten milliseconds.
SCARCE_PAUSE_S = (0.01, 0.04)
INITIAL_OPENING_S = 0.015
# Weight of the newest measurement in the moving average of opening times.
OPENING_SMOOTHING = 0.1

Connection = TypeVar("Connection", bound=PooledConnection)
Connect = Callable[[float, str], Awaitable[Connection]]


class ConnectionOpener(Generic[Connection]):
    """Opens connections to one upstream.

    Attributes:
        address: Address of the upstream.
        connect: Opens one connection within a given number of seconds, for a client
            account.
        attempts: Tasks of the attempts in progress.
        opening_s: Moving average of the time of an opening, in seconds.
    """

    __slots__ = ("address", "connect", "attempts", "opening_s")

    def __init__(self, address: Address, connect: Connect[Connection]) -> None:
        self.address = address
        self.connect = connect
        self.attempts: set[asyncio.Task[Connection]] = set()
        self.opening_s = INITIAL_OPENING_S

    async def open(self, deadline_s: float, account: str) -> Connection:
        """Open a connection.

        Args:
            deadline_s: Monotonic time at which to give up.
            account: Client account that the connection is for; empty for the proxy's
                own name.

        Returns:
            The connection.

        Raises:
            UpstreamLostError: If the upstream refuses or can't be reached, or the
                attempts were cancelled.
        """
        started_s = now_s()
        timeout_s = max(0.0, min(OPEN_TIMEOUT_S, deadline_s - now_s()))
        attempt = asyncio.ensure_future(self.connect(timeout_s, account))
        self.attempts.add(attempt)
        try:
            await asyncio.wait({attempt})
        except asyncio.CancelledError:
            await abandon_attempt(attempt)
            raise
        finally:
            self.attempts.discard(attempt)
        if attempt.cancelled():
            raise build_not_accepting_error(self.address)
        connection = attempt.result()
        self.opening_s += OPENING_SMOOTHING * (now_s() - started_s - self.opening_s)
        return connection

    async def retry_open(
        self, deadline_s: float, account: str, has_left: Callable[[], bool]
    ) -> Connection | None:
        """Open a scarce connection; try again while the upstream has none to spare.

        Args:
            deadline_s: Monotonic time at which to give up.
            account: Client account that the connection is for; empty for the proxy's
                own name.
            has_left: Returns whether the caller that waits for it has left.

        Returns:
            The connection, or None if the upstream had none to spare in time.

        Raises:
            UpstreamLostError: If the upstream can't be reached, or the attempts were
                cancelled.
        """
        while True:
            try:
                return await self.open(deadline_s, account)
            except UpstreamLostError as error:
                if error.sqlstate != TOO_MANY_CONNECTIONS:
                    raise
            pause_s = random.uniform(*SCARCE_PAUSE_S)
            if has_left() or now_s() + pause_s > deadline_s:
                return None
            await asyncio.sleep(pause_s)

    def cancel_attempts(self) -> None:
        """Cancel every attempt."""
        for attempt in self.attempts:
            attempt.cancel()


async def abandon_attempt(attempt: asyncio.Task[Connection]) -> None:
    """Cancel an attempt whose caller gave up; close a connection it still opened.

    Args:
        attempt: The task that opens the connection.
    """
    attempt.cancel()
    await asyncio.wait({attempt})
    if not attempt.cancelled() and attempt.exception() is None:
        attempt.result().close()


def build_not_accepting_error(address: Address) -> UpstreamLostError:
    """Build the error for requests to a pool that accepts no new work.

    Args:
        address: Address of the upstream.
    """
    return UpstreamLostError(f"{address} accepts no new work")
