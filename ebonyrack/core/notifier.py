"""A notice that wakes every task that waits for it."""

from __future__ import annotations

import asyncio


class Notifier:
    """Wakes all waiting tasks at each notice; a notice is not kept.

    Attributes:
        waiters: One future for each waiting task.
    """

    __slots__ = ("waiters",)

    def __init__(self) -> None:
        self.waiters: set[asyncio.Future[None]] = set()

    def notify(self) -> None:
        """Wake every task that waits now."""
        waiters = self.waiters
        self.waiters = set()
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait(
        self, timeout_s: float, waiter: asyncio.Future[None] | None = None
    ) -> bool:
        """Wait for the next notice.

        Args:
            timeout_s: Seconds to wait at most.
            waiter: What to wait with; whoever else holds it may end the wait.

        Returns:
            Whether a notice came in time.
        """
        if waiter is None:
            waiter = asyncio.get_running_loop().create_future()
        self.waiters.add(waiter)
        try:
            async with asyncio.timeout(timeout_s):
                await waiter
        except TimeoutError:
            return False
        finally:
            self.waiters.discard(waiter)
        return True
