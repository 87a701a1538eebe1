"""Removal of idempotency keys that are past their retention."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

from ebonyrack.core.clock import now_s
from ebonyrack.core.component import Component
from ebonyrack.core.errors import RequestError
from ebonyrack.core.tasks import end_tasks
from ebonyrack.routing.idempotency import DELETE_BATCH_ROWS
from ebonyrack.routing.idempotency import remove_expired
from ebonyrack.upstreams.connection import UpstreamLostError

if TYPE_CHECKING:
    from ebonyrack.failover.coordinator import Coordinator

INTERVAL_S = 600.0
STEP_TIMEOUT_S = 5.0
# Bounds the work of one round; what is left waits for the next.
MAXIMUM_STEPS = 100
POOL_CALLER = "ebonyrack key retention"


class KeyRetention(Component):
    """Removes a group's expired keys from time to time: a context manager.

    Only the first of the group's coordinators does so.

    Attributes:
        coordinator: The group's coordinator in this proxy.
    """

    __slots__ = ("coordinator", "task")

    def __init__(self, coordinator: Coordinator) -> None:
        self.coordinator = coordinator
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to remove expired keys."""
        self.task = asyncio.create_task(self.run())

    async def stop(self) -> None:
        """End the task that removes them."""
        await end_tasks([self.task])

    async def run(self) -> None:
        """Remove expired keys at every interval, for ever."""
        while True:
            await asyncio.sleep(INTERVAL_S)
            if self.coordinator.rank == 0:
                await self.remove_all()

    async def remove_all(self) -> int:
        """Remove all expired keys, a bounded number of steps at most.

        Returns:
            The number of keys that were removed.
        """
        removed = 0
        try:
            for _ in range(MAXIMUM_STEPS):
                count = await self.remove_some()
                removed += count
                if count < DELETE_BATCH_ROWS:
                    break
        except (RequestError, UpstreamLostError) as error:
            logger.bind(group=self.coordinator.group.name, reason=str(error)).warning(
                "keys_not_removed"
            )
        return removed

    async def remove_some(self) -> int:
        """Remove one bounded batch of expired keys.

        Returns:
            The number of keys that were removed.

        Raises:
            RequestError: If no connection comes free or the upstream refuses.
            UpstreamLostError: If the primary is lost.
        """
        group = self.coordinator.group
        deadline_s = now_s() + STEP_TIMEOUT_S
        primary = await group.wait_for_primary(deadline_s)
        connection = await primary.pool.acquire(POOL_CALLER, deadline_s)
        try:
            return await remove_expired(
                connection, group.section.key_retention_s, STEP_TIMEOUT_S
            )
        finally:
            primary.pool.release(connection)
