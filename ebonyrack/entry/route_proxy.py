"""The running proxy for routes: owns all of its parts, from start to drained."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Protocol

from loguru import logger
from result import Err
from result import Result

from ebonyrack.core.clock import boot_time_s
from ebonyrack.core.component import Component
from ebonyrack.core.route_settings import RouteProxySettings
from ebonyrack.core.tasks import end_tasks
from ebonyrack.core.tasks import start_loop
from ebonyrack.entry.listener import BALANCER_NOTICE_S
from ebonyrack.entry.listener import Listener
from ebonyrack.entry.primary_watch import PrimaryWatch
from ebonyrack.members.directory import DecodeEntry
from ebonyrack.members.directory import UpstreamDirectory
from ebonyrack.members.group import Group
from ebonyrack.members.presence import PREFIX as PROXIES_PREFIX
from ebonyrack.members.presence import Presence
from ebonyrack.placing.primary_health import MISSING_ENTRY_LIMIT_S
from ebonyrack.promotion.order import PromotionOrderClient
from ebonyrack.promotion.promoter import Promoter
from ebonyrack.requests.codec import CallerCodec
from ebonyrack.requests.codec import UpstreamCodec
from ebonyrack.routes.route import RouteTable
from ebonyrack.serving.services import Services
from ebonyrack.store.follower import FollowOptions
from ebonyrack.store.follower import StoreAvailability
from ebonyrack.store.follower import StoreFollower
from ebonyrack.store.leasing_store import LeasingStore
from ebonyrack.store.leasing_store import StoreChanges

LOOK_S = 0.5
# A watch of the document returns with each change; a connection that went silent is
# noticed by its keep-alive probes. The platform holds a watch for 30 s at most.
DOCUMENT_WATCH_S = 25.0
# Upstreams that leave serve on for at least twice as long.
ENTRIES_PAUSE_S = 3.0
# Connections are divided anew within this time and the pools' own limits. Names that
# are some seconds old will do, as names that have gone count longer than that.
PROXIES_PAUSE_S = 10.0
# Without store and primary for this long, a proxy counts as cut off from both; the
# store is asked at least every two seconds, a primary several times a second.
ISOLATED_AFTER_S = 1.0
# Share in the queues by priority, the highest first; lower ones count 1.
PRIORITY_WEIGHTS = {0: 8, 1: 4, 2: 2}


class RouteDecoder(Protocol):
    """Reads the routes out of their stored form."""

    def __call__(self, value: bytes, /) -> Result[RouteTable, str]:
        """Decode the routes."""


@dataclass(frozen=True, slots=True)
class ProxyDependencies:
    """What the proxy meets, behind interfaces that an adapter fills.

    Attributes:
        store: The platform's store.
        orders: Takes orders to change a primary.
        caller_codec: Protocol of callers.
        upstream_codec: Protocol of upstreams.
        document_key: Key of the operators' routes.
        decode_document: Reads them.
        entry_prefix: Start of the keys of upstreams' entries.
        decode_entry: Reads one.
    """

    store: LeasingStore
    orders: PromotionOrderClient
    caller_codec: CallerCodec
    upstream_codec: UpstreamCodec
    document_key: str
    decode_document: RouteDecoder
    entry_prefix: str
    decode_entry: DecodeEntry


class RouteProxy(Component):
    """One proxy process: an async context manager that runs all parts.

    Attributes:
        settings: Settings of the process.
        dependencies: What the proxy meets.
        services: What callers' sessions use.
        directory: The upstreams that the store names.
        presence: The proxies that live.
        store_availability: Whether the store answers.
        followers: Follow the parts of the store.
        listener: Takes callers' connections.
        watches: Watch of each group's primary.
        isolated_since_s: Time since which others serve callers better, or None; it
            starts anew when callers were let go.
        discovery_completed: Whether all upstreams have once had time to be known.
    """

    def __init__(
        self, settings: RouteProxySettings, dependencies: ProxyDependencies
    ) -> None:
        self.settings = settings
        self.dependencies = dependencies
        self.services = Services(settings)
        self.directory = UpstreamDirectory(
            dependencies.entry_prefix, dependencies.decode_entry, self.services.groups
        )
        self.presence = Presence(
            dependencies.store, settings.name, self.divide_connections
        )
        store = dependencies.store
        self.store_availability = StoreAvailability()
        self.followers = (
            StoreFollower(
                store,
                FollowOptions(dependencies.entry_prefix, pause_s=ENTRIES_PAUSE_S),
                self.directory.apply,
                self.lacks_upstreams,
                self.store_availability,
                probes_store=True,
            ),
            StoreFollower(
                store,
                FollowOptions(dependencies.document_key, watch_s=DOCUMENT_WATCH_S),
                self.apply_document,
                lambda: False,
                self.store_availability,
            ),
            StoreFollower(
                store,
                FollowOptions(
                    PROXIES_PREFIX, pause_s=PROXIES_PAUSE_S, allow_stale=True
                ),
                self.presence.apply,
                lambda: False,
                self.store_availability,
            ),
        )
        self.listener = Listener(self.services, dependencies.caller_codec)
        self.watches: dict[str, PrimaryWatch] = {}
        self.discovery_completed = False
        self.isolated_since_s: float | None = None
        self.stack = AsyncExitStack()
        self.surroundings_task: asyncio.Task[None] | None = None

    @property
    def is_ready(self) -> bool:
        """Whether callers should be sent here."""
        if self.services.drain.is_draining or not self.directory.is_loaded:
            return False
        groups = self.services.groups.values()
        has_upstreams = any(group.members for group in groups)
        return has_upstreams and not self.is_isolated()

    def is_isolated(self) -> bool:
        """Whether callers are served better by another proxy.

        That is so if neither the store nor some group's primary can be reached from
        here for a while: the others may have replaced it meanwhile.
        """
        if self.store_availability.compute_unavailable_s() < ISOLATED_AFTER_S:
            return False
        groups = self.services.groups.values()
        return any(group.measure_outage() > ISOLATED_AFTER_S for group in groups)

    def shed_if_isolated(self) -> None:
        """Let idle callers connect to other proxies while this one can't serve them.

        The balancer is given time to notice first, or they would come back here.
        """
        if not self.is_isolated():
            self.isolated_since_s = None
            return
        now = boot_time_s()
        if self.isolated_since_s is None:
            self.isolated_since_s = now
            logger.warning("proxy_isolated")
        elif now - self.isolated_since_s > BALANCER_NOTICE_S:
            count = self.listener.shed_idle()
            logger.bind(sessions=count).info("idle_callers_shed")
            self.isolated_since_s = now

    def lacks_upstreams(self) -> bool:
        """Whether the store should be asked more often than usual."""
        groups = self.services.groups.values()
        return any(group.lacks_upstreams for group in groups)

    async def start(self) -> None:
        """Start all parts."""
        await self.stack.enter_async_context(self.listener)
        for follower in self.followers:
            await self.stack.enter_async_context(follower)
        await self.stack.enter_async_context(self.presence)
        self.surroundings_task = start_loop(self.watch_surroundings)
        self.services.drain.serve()
        logger.bind(
            address=str(self.settings.caller_address),
            data_centre=self.settings.data_centre,
        ).info("proxy_started")

    async def stop(self) -> None:
        """Stop all parts."""
        await end_tasks([self.surroundings_task])
        await self.stack.aclose()
        for watch in self.watches.values():
            await watch.stop()
        for group in self.services.groups.values():
            await group.stop()
        logger.info("proxy_stopped")

    async def serve(self) -> int:
        """Serve callers until a shutdown is asked for, then drain.

        Returns:
            The number of sessions that the shutdown cut.
        """
        await self.services.drain.requested.wait()
        cut = await self.listener.drain(self.settings.grace_s)
        self.services.drain.finish()
        logger.bind(cut_sessions=cut).info("proxy_drained")
        return cut

    async def apply_document(self, changes: StoreChanges) -> None:
        """Take over the operators' routes."""
        for item in changes.items:
            if item.key == self.dependencies.document_key:
                await self.offer_document(item.value)

    async def offer_document(self, value: bytes) -> None:
        """Put the operators' routes in force, unless they can't be read."""
        found = self.dependencies.decode_document(value)
        if isinstance(found, Err):
            logger.bind(reason=found.err_value).error("routes_rejected")
            return
        if self.services.routes.apply_if_newer(found.ok_value, "store"):
            await self.apply_routes(found.ok_value)

    async def apply_routes(self, table: RouteTable) -> None:
        """Bring the groups to the routes in force."""
        groups = self.services.groups
        for name, limits in table.groups.items():
            if name in groups:
                groups[name].limits = limits
                continue
            group = Group(
                limits,
                self.settings.data_centre,
                self.dependencies.upstream_codec,
                self.presence.live_count,
            )
            groups[name] = group
            await self.directory.add_group(group)
            await self.start_watch(group)
        for name in set(groups) - set(table.groups):
            await self.watches.pop(name).stop()
            await groups.pop(name).stop()
        self.divide_connections()
        weights = {
            database.decode("utf-8", "replace"): PRIORITY_WEIGHTS.get(route.priority, 1)
            for database, route in table.routes.items()
        }
        for group in groups.values():
            group.set_weights(weights)

    async def start_watch(self, group: Group) -> None:
        """Start to watch a group's primary."""
        promoter = Promoter(
            group,
            self.dependencies.store,
            self.dependencies.orders,
            self.settings.name,
        )
        watch = PrimaryWatch(group, promoter, self.is_discovery_complete)
        self.watches[group.name] = watch
        await watch.start()

    def is_discovery_complete(self) -> bool:
        """Whether every upstream that lives has had time to be known here.

        Entries that lapsed during an outage of the store come back some time after
        it. A successor chosen before that could lack what an unknown one holds.
        """
        if not self.discovery_completed:
            self.discovery_completed = (
                self.store_availability.compute_available_s() > MISSING_ENTRY_LIMIT_S
            )
        return self.discovery_completed

    def divide_connections(self) -> None:
        """Set this proxy's share of the upstreams' connections."""
        for group in self.services.groups.values():
            group.update_connection_share(self.presence.live_count)

    async def watch_surroundings(self) -> None:
        """Act on what stays away too long, until cancelled."""
        while True:
            await asyncio.sleep(LOOK_S)
            self.shed_if_isolated()
            await self.directory.remove_missing(
                self.store_availability.available_since_s, MISSING_ENTRY_LIMIT_S
            )
