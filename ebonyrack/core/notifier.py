"""Notifications that wake all waiting tasks."""

from __future__ import annotations

import asyncio


class Notifier:
    """Wakes all waiting tasks; notifications are not stored for later ones.

    Attributes:
        waiters: One future for each waiting task.
    """

    __slots__ = ("waiters",)

    def __init__(self) -> None:
        self.waiters: set[asyncio.Future[None]] = set()

    def notify(self) -> None:
        """Wake every waiting task."""
        waiters = self.waiters
        self.waiters = set()
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait(
        self, timeout_s: float, waiter: asyncio.Future[None] | None = None
    ) -> bool:
        """Wait for the next notification.

        Args:
            timeout_s: Seconds to wait at most.
            waiter: Future to wait on, which its other holders may resolve too.

        Returns:
            Whether the future was resolved in time.
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
