"""Removal of expired idempotency keys."""

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
BATCH_TIMEOUT_S = 5.0
# Limits the work per interval; remaining keys wait for the next one.
MAXIMUM_BATCHES = 100
POOL_CALLER = "ebonyrack key retention"


class KeyRetention(Component):
    """Periodically removes a group's expired keys: an async context manager.

    Only the proxy with coordinator rank 0 of the group does so.

    Attributes:
        coordinator: The group's coordinator in this proxy.
        task: Removes expired keys.
    """

    __slots__ = ("coordinator", "task")

    def __init__(self, coordinator: Coordinator) -> None:
        self.coordinator = coordinator
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the periodic removal."""
        self.task = asyncio.create_task(self.run())

    async def stop(self) -> None:
        """Stop the periodic removal."""
        await end_tasks([self.task])

    async def run(self) -> None:
        """Remove expired keys at every interval until cancelled."""
        while True:
            await asyncio.sleep(INTERVAL_S)
            if self.coordinator.rank == 0:
                await self.remove_expired_keys()

    async def remove_expired_keys(self) -> int:
        """Remove all expired keys, up to `MAXIMUM_BATCHES` batches.

        Returns:
            The number of keys that were removed.
        """
        removed = 0
        try:
            for _ in range(MAXIMUM_BATCHES):
                count = await self.remove_batch()
                removed += count
                if count < DELETE_BATCH_ROWS:
                    break
        except (RequestError, UpstreamLostError) as error:
            logger.bind(group=self.coordinator.group.name, reason=str(error)).warning(
                "keys_not_removed"
            )
        return removed

    async def remove_batch(self) -> int:
        """Remove one bounded batch of expired keys.

        Returns:
            The number of keys that were removed.

        Raises:
            RequestError: If no connection becomes free or the statement fails.
            UpstreamLostError: If the primary is lost.
        """
        group = self.coordinator.group
        deadline_s = now_s() + BATCH_TIMEOUT_S
        primary = await group.wait_for_primary(deadline_s)
        connection = await primary.pool.acquire(POOL_CALLER, deadline_s)
        try:
            return await remove_expired(
                connection, group.section.key_retention_s, BATCH_TIMEOUT_S
            )
        finally:
            primary.pool.release(connection)
