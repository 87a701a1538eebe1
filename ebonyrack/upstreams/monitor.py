"""Background tasks that poll one upstream of a group for status and confirmations."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from ebonyrack.core.clock import now_s
from ebonyrack.core.position import LogPosition
from ebonyrack.core.tasks import end_tasks
from ebonyrack.upstreams.connection import UpstreamLostError
from ebonyrack.upstreams.pool_admission import close_overdue_connections

if TYPE_CHECKING:
    from ebonyrack.upstreams.group import DatabaseGroup
    from ebonyrack.upstreams.upstream import Upstream

# Poll interval of a proxy that is no coordinator and has no recent requests.
IDLE_POLL_INTERVAL_S = 2.0
# Poll interval of a proxy that is no coordinator but has recent requests; the
# coordinators notify it of a new primary.
ACTIVE_POLL_INTERVAL_S = 0.2
# Multiples of the probe interval at which the first coordinator polls replicas, and at
# which the other coordinators poll every upstream: the first one decides about health,
# and the others act only after it.
REPLICA_INTERVAL_FACTOR = 2
OTHER_COORDINATOR_INTERVAL_FACTOR = 4
CONFIRMATION_POLL_WAIT_S = 0.5
# Every event that ends an idle wait is signalled; the limit only guards against a bug.
MAXIMUM_IDLE_WAIT_S = 10.0
RETRY_DELAY_S = 0.02
WARM_CONNECTIONS = 1
WARM_CHECK_INTERVAL_S = 1.0


class UpstreamMonitor:
    """Owns an upstream and the tasks that monitor it for its group.

    Attributes:
        group: The group.
        upstream: The upstream.
        wake: Set to poll immediately.
        tasks: The running tasks.
    """

    __slots__ = ("group", "upstream", "wake", "tasks")

    def __init__(self, group: DatabaseGroup, upstream: Upstream) -> None:
        self.group = group
        self.upstream = upstream
        self.wake = asyncio.Event()
        self.tasks: tuple[asyncio.Task[None], ...] = ()

    def start(self) -> None:
        """Start the tasks."""
        self.tasks = (
            asyncio.create_task(self.poll_forever()),
            asyncio.create_task(self.poll_for_confirmations()),
            asyncio.create_task(self.keep_warm()),
        )

    async def stop(self) -> None:
        """Stop the tasks and close the connections of the upstream."""
        await end_tasks(self.tasks)
        await self.upstream.stop()

    async def poll_forever(self) -> None:
        """Poll the upstream until cancelled, at the interval that the group needs."""
        while True:
            self.wake.clear()
            started_s = now_s()
            try:
                await self.upstream.poll()
            except UpstreamLostError:
                # Already recorded by the upstream; the next round polls again.
                pass
            close_overdue_connections(self.group, self.upstream)
            interval_s = self.compute_poll_interval() * random.uniform(0.9, 1.0)
            try:
                async with asyncio.timeout(max(0.0, started_s + interval_s - now_s())):
                    await self.wake.wait()
            except TimeoutError:
                continue

    def compute_poll_interval(self) -> float:
        """Return the seconds between two polls of the upstream."""
        group = self.group
        if group.coordinator_rank == 0:
            factor = (
                1
                if self.upstream.name == group.primary_name
                else REPLICA_INTERVAL_FACTOR
            )
            return factor * group.section.probe_interval_s
        if group.coordinator_rank is not None:
            return OTHER_COORDINATOR_INTERVAL_FACTOR * group.section.probe_interval_s
        if group.has_recent_requests:
            return max(ACTIVE_POLL_INTERVAL_S, group.section.probe_interval_s)
        return IDLE_POLL_INTERVAL_S

    async def keep_warm(self) -> None:
        """Keep a connection open, as the upstream is or may become primary.

        This is a separate task, so that polls go on and detect a failure while the
        opening of a connection hangs.
        """
        upstream = self.upstream
        while True:
            if upstream.state == "answering" and upstream.pool.open_count == 0:
                try:
                    await upstream.pool.warm_up(WARM_CONNECTIONS)
                except UpstreamLostError as error:
                    self.group.report_connection_lost(upstream.name, error.reason)
            await self.group.changed.wait(WARM_CHECK_INTERVAL_S)

    async def poll_for_confirmations(self) -> None:
        """Poll a replica until cancelled, for the positions that writes wait for."""
        upstream, group = self.upstream, self.group
        while True:
            confirmations = group.confirmations
            offset = confirmations.find_lowest_missing(upstream.name)
            if not upstream.is_following(confirmations.term):
                await group.changed.wait(MAXIMUM_IDLE_WAIT_S)
                continue
            if offset is None:
                await confirmations.pending_changed.wait(MAXIMUM_IDLE_WAIT_S)
                continue
            position = LogPosition(confirmations.term, offset)
            try:
                await upstream.poll(position, CONFIRMATION_POLL_WAIT_S, received=True)
            except UpstreamLostError:
                await group.changed.wait(RETRY_DELAY_S)
