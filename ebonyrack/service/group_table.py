"""The database groups of the document in force, each with its coordinator."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

from loguru import logger

from ebonyrack.core.component import Component
from ebonyrack.core.tasks import end_tasks
from ebonyrack.failover.coordinator import Coordinator
from ebonyrack.peers.shares import ShareCount
from ebonyrack.routing.read_index import ReadIndex
from ebonyrack.service.connection_share import compute_connection_share
from ebonyrack.service.key_retention import KeyRetention
from ebonyrack.upstreams.group import DatabaseGroup

if TYPE_CHECKING:
    from ebonyrack.config.sections import GroupSection
    from ebonyrack.config.watch import ConfigurationWatch
    from ebonyrack.failover.terms import TermSource
    from ebonyrack.peers.hub import PeerHub
    from ebonyrack.service.services import Services


class GroupTable(Component):
    """Makes the running groups match the document: an async context manager.

    Attributes:
        services: Holds the groups and read indexes that the sessions use.
        terms: Source of terms for the coordinators.
        hub: Links to the other proxies.
        watch: Source of the names of leaving VMs.
        share_count: Counts the proxies that share the connections.
        coordinators: Coordinator of each group, by the group's name.
        stacks: Running components of each group, by the group's name.
        changed: Set when the document, the members or the VM list changed.
        task: Applies the changes.
    """

    def __init__(
        self,
        services: Services,
        terms: TermSource,
        hub: PeerHub,
        watch: ConfigurationWatch,
    ) -> None:
        self.services = services
        self.terms = terms
        self.hub = hub
        self.watch = watch
        self.share_count = ShareCount(services.membership)
        self.coordinators: dict[str, Coordinator] = {}
        self.stacks: dict[str, AsyncExitStack] = {}
        self.changed = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Subscribe to changes and start to apply them."""
        self.services.configuration.subscribe(lambda document: self.changed.set())
        self.services.membership.subscribe(lambda member: self.changed.set())
        self.watch.leaving_vms.subscribe(self.changed.set)
        await self.share_count.start()
        self.share_count.subscribe(self.changed.set)
        self.changed.set()
        self.task = asyncio.create_task(self.follow_changes())

    async def stop(self) -> None:
        """Stop all groups."""
        await end_tasks([self.task])
        await self.share_count.stop()
        await asyncio.gather(*(self.stop_group(name) for name in tuple(self.stacks)))

    async def follow_changes(self) -> None:
        """Update the groups after each change."""
        while True:
            await self.changed.wait()
            self.changed.clear()
            await self.update_groups()

    async def update_groups(self) -> None:
        """Make the running groups match the document in force."""
        document = self.services.configuration.document
        for name in tuple(self.stacks):
            if name not in document.groups:
                await self.stop_group(name)
        for name, section in document.groups.items():
            if name not in self.stacks:
                await self.start_group(name, section)
            self.update_group(name, section)
        weights = {
            name: application.weight
            for name, application in document.applications.items()
        }
        for group in self.services.groups.values():
            group.primary_wait.queue.weights = weights
            for upstream in group.upstreams.values():
                upstream.pool.set_weights(weights)

    def update_group(self, name: str, section: GroupSection) -> None:
        """Update a group's section, connection share and leaving upstreams.

        Args:
            name: Name of the group.
            section: Its section of the document in force.
        """
        group = self.services.groups[name]
        if group.section is not section:
            group.reconfigure(section)
        live_proxies = self.share_count.count()
        share = compute_connection_share(section, live_proxies)
        if group.connection_limit != share:
            logger.bind(group=name, share=share, live_proxies=live_proxies).info(
                "connection_share_changed"
            )
            group.set_connection_limit(share)
        leaving_vms = self.watch.leaving_vms.names
        for upstream in section.upstreams:
            is_leaving = (
                upstream.name in leaving_vms or upstream.name in section.leaving
            )
            group.mark_leaving(upstream.name, is_leaving)

    async def start_group(self, name: str, section: GroupSection) -> None:
        """Start a group and its coordinator.

        Args:
            name: Name of the group.
            section: Its section of the document in force.
        """
        live_proxies = self.share_count.count()
        group = DatabaseGroup(
            name, section, compute_connection_share(section, live_proxies)
        )
        coordinator = Coordinator(group, self.terms, self.hub, self.services.membership)
        stack = AsyncExitStack()
        await stack.enter_async_context(group)
        await stack.enter_async_context(coordinator)
        await stack.enter_async_context(KeyRetention(coordinator))
        self.stacks[name] = stack
        self.coordinators[name] = coordinator
        read_index = await stack.enter_async_context(ReadIndex(group))
        self.services.read_indexes[name] = read_index
        self.services.groups[name] = group

    async def stop_group(self, name: str) -> None:
        """Stop a group that is no longer in the document.

        Args:
            name: Name of the group.
        """
        self.services.groups.pop(name, None)
        self.services.read_indexes.pop(name, None)
        self.coordinators.pop(name, None)
        await self.stacks.pop(name).aclose()
