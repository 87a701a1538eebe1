"""The tasks that poll one upstream of a group and ask it for confirmations."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from ebonyrack.core.clock import now_s
from ebonyrack.core.position import LogPosition
from ebonyrack.core.tasks import end_tasks
from ebonyrack.upstreams.connection import UpstreamLostError

if TYPE_CHECKING:
    from ebonyrack.upstreams.group import DatabaseGroup
    from ebonyrack.upstreams.upstream import Upstream

# A proxy that coordinates nothing and carries no request polls at this interval.
IDLE_PROBE_INTERVAL_S = 2.0
# One that coordinates nothing but carries requests polls at this interval; it hears of
# a new primary from the coordinators.
BUSY_PROBE_INTERVAL_S = 0.2
# The first coordinator polls replicas, and the others poll all, at this many times the
# probe interval: the first one's verdict counts, and the others act only after it.
REPLICA_FACTOR = 2
STANDBY_FACTOR = 4
CONFIRM_CALL_S = 0.5
# Both notices that end an idle wait are certain; the bound only guards against a fault.
IDLE_WAIT_S = 10.0
RETRY_PAUSE_S = 0.02
WARM_CONNECTIONS = 1
WARM_INTERVAL_S = 1.0


class UpstreamMonitor:
    """Owns an upstream and the tasks that watch it for its group.

    Attributes:
        group: The group.
        upstream: The upstream.
        wake: Set to poll at once.
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
            asyncio.create_task(self.probe()),
            asyncio.create_task(self.confirm()),
            asyncio.create_task(self.keep_warm()),
        )

    async def stop(self) -> None:
        """End the tasks and close the connections of the upstream."""
        await end_tasks(self.tasks)
        await self.upstream.stop()

    async def probe(self) -> None:
        """Poll the upstream for ever, at the interval that the group needs."""
        while True:
            self.wake.clear()
            started_s = now_s()
            try:
                await self.upstream.poll()
            except UpstreamLostError:
                # The upstream has noted it; the next round polls again.
                pass
            self.group.end_overdue_work(self.upstream)
            interval_s = self.compute_probe_interval() * random.uniform(0.9, 1.0)
            try:
                async with asyncio.timeout(max(0.0, started_s + interval_s - now_s())):
                    await self.wake.wait()
            except TimeoutError:
                continue

    def compute_probe_interval(self) -> float:
        """Return the seconds between polls of an upstream."""
        group = self.group
        if group.coordinator_rank == 0:
            factor = 1 if self.upstream.name == group.primary_name else REPLICA_FACTOR
            return factor * group.section.probe_interval_s
        if group.coordinator_rank is not None:
            return STANDBY_FACTOR * group.section.probe_interval_s
        if group.is_carrying_requests:
            return max(BUSY_PROBE_INTERVAL_S, group.section.probe_interval_s)
        return IDLE_PROBE_INTERVAL_S

    async def keep_warm(self) -> None:
        """Keep a connection open for ever, as the upstream is or may become primary.

        A task of its own, since opening may hang where a poll must notice it.
        """
        upstream = self.upstream
        while True:
            if upstream.state == "answering" and upstream.pool.open_count == 0:
                try:
                    await upstream.pool.warm_up(WARM_CONNECTIONS)
                except UpstreamLostError as error:
                    self.group.report_connection_lost(upstream.name, error.reason)
            await self.group.changed.wait(WARM_INTERVAL_S)

    async def confirm(self) -> None:
        """Ask the replica for ever for the positions that waiting writes need."""
        upstream, group = self.upstream, self.group
        while True:
            confirmations = group.confirmations
            offset = confirmations.find_lowest_missing(upstream.name)
            if not upstream.is_following(confirmations.term):
                await group.changed.wait(IDLE_WAIT_S)
                continue
            if offset is None:
                await confirmations.added.wait(IDLE_WAIT_S)
                continue
            position = LogPosition(confirmations.term, offset)
            try:
                await upstream.poll(position, CONFIRM_CALL_S, received=True)
            except UpstreamLostError:
                await group.changed.wait(RETRY_PAUSE_S)
