"""The route proxy process: starts, supervises and drains its components."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack

from loguru import logger
from result import Err
from result import Ok

from ebonyrack import __version__
from ebonyrack.core.component import Component
from ebonyrack.core.decoding import ProgramDefectError
from ebonyrack.core.route_settings import RouteProxySettings
from ebonyrack.core.tasks import end_tasks
from ebonyrack.core.tasks import start_loop
from ebonyrack.entry.isolation import Isolation
from ebonyrack.entry.listener import Listener
from ebonyrack.entry.primary_monitor import PrimaryMonitor
from ebonyrack.entry.proxy_dependencies import ProxyDependencies
from ebonyrack.handover.asking import HomeAsker
from ebonyrack.handover.front import Front
from ebonyrack.handover.home import Home
from ebonyrack.limits.fleet_limiter import FleetLimiter
from ebonyrack.limits.grant_terms import LimitBounds
from ebonyrack.members.directory import UpstreamDirectory
from ebonyrack.members.group import Group
from ebonyrack.members.presence import PREFIX as PROXIES_PREFIX
from ebonyrack.members.presence import Presence
from ebonyrack.members.proxy_counts import count_proxies
from ebonyrack.peers.proxy_entry import ProxyEntry
from ebonyrack.peers.proxy_links import ProxyLinks
from ebonyrack.placing.homes import HomePlan
from ebonyrack.placing.homes import plan_homes
from ebonyrack.placing.primary_health import MISSING_ENTRY_LIMIT_S
from ebonyrack.placing.sample_age import compute_sample_age
from ebonyrack.promotion.promoter import Promoter
from ebonyrack.routes.route import RouteTable
from ebonyrack.serving.services import Services
from ebonyrack.store.follower import FollowOptions
from ebonyrack.store.follower import StoreAvailability
from ebonyrack.store.follower import StoreFollower
from ebonyrack.store.follower import compute_watch_time
from ebonyrack.store.leasing_store import StoreChanges

MONITOR_INTERVAL_S = 0.5
# An upstream that is leaving keeps serving for at least twice as long.
ENTRIES_READ_INTERVAL_S = 3.0
# Connection shares follow a change of the proxies within this time; until then the
# pools keep their limits. A list of proxies that is some seconds old is recent enough,
# because proxies that have gone are counted for longer than that.
PROXIES_READ_INTERVAL_S = 10.0
# Weight in the queues by priority of the route, 0 the highest; all others weigh 1.
PRIORITY_WEIGHTS = {0: 8, 1: 4, 2: 2}


class RouteProxy(Component):
    """One proxy process: an async context manager that runs all components.

    Attributes:
        settings: Settings of the process.
        dependencies: Platform services and protocols.
        services: State shared by callers' sessions.
        directory: The upstreams that are registered in the store.
        presence: The live proxies.
        links: Links to other proxies.
        home_asker: Asks the homes of groups.
        home: Serves the work that other proxies hand to this one.
        store_availability: Whether the store answers.
        followers: Apply changes of entries, routes and proxies in the store.
        listener: Accepts callers' connections.
        primary_monitors: Monitor of each group's primary, by name of the group.
        isolation: Sends callers elsewhere while this proxy is isolated.
        discovery_completed: Whether all upstreams have once had time to be discovered.
        reported_defects: Texts of the program's own errors that have been logged.
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
            dependencies.store,
            settings.name,
            self.update_connection_shares,
            build_entry(settings),
        )
        self.links = ProxyLinks(settings, lambda: self.presence.proxies)
        self.home_asker = HomeAsker(self.links, settings.data_centre)
        self.home = Home(self.services, self.links)
        self.services.remote = Front(self.home_asker, self.services.routes)
        store = dependencies.store
        self.store_availability = StoreAvailability()
        self.reported_defects: set[str] = set()
        self.services.limiter = self.build_limiter()
        self.followers = (
            StoreFollower(
                store,
                FollowOptions(
                    dependencies.entry_prefix, pause_s=ENTRIES_READ_INTERVAL_S
                ),
                self.directory.apply,
                self.lacks_upstreams,
                self.store_availability,
                probes_store=True,
            ),
            StoreFollower(
                store,
                FollowOptions(
                    dependencies.document_key,
                    watch_s=compute_watch_time(settings.apply_limit_s),
                ),
                self.apply_store_changes,
                lambda: False,
                self.store_availability,
            ),
            StoreFollower(
                store,
                FollowOptions(
                    PROXIES_PREFIX, pause_s=PROXIES_READ_INTERVAL_S, allow_stale=True
                ),
                self.presence.apply,
                lambda: False,
                self.store_availability,
            ),
        )
        self.listener = Listener(self.services, dependencies.caller_codec)
        self.primary_monitors: dict[str, PrimaryMonitor] = {}
        self.discovery_completed = False
        self.isolation = Isolation(
            self.services.groups, self.store_availability, self.listener
        )
        self.stack = AsyncExitStack()
        self.monitor_task: asyncio.Task[None] | None = None

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send callers here."""
        if self.services.drain.is_draining or not self.directory.is_loaded:
            return False
        groups = self.services.groups.values()
        has_upstreams = any(group.members for group in groups)
        return has_upstreams and not self.isolation.is_isolated

    def lacks_upstreams(self) -> bool:
        """Whether a group lacks upstreams, so that the store is read more often."""
        groups = self.services.groups.values()
        return any(group.lacks_upstreams for group in groups)

    def build_limiter(self) -> FleetLimiter | None:
        """Build what keeps the limits of accounts, where the platform checks them."""
        settings = self.settings
        if settings.limit_window_s is None or settings.peer_address is None:
            return None
        bounds = LimitBounds(
            settings.limit_window_s, settings.limit_overshoot, settings.limit_slack
        )
        return FleetLimiter(
            settings,
            bounds,
            self.dependencies.store,
            self.links,
            lambda: self.presence.proxies,
            self.refresh_proxies,
            self.store_availability,
        )

    async def refresh_proxies(self) -> None:
        """Read the live proxies from the store now."""
        found = await self.dependencies.store.read_prefix(PROXIES_PREFIX)
        if isinstance(found, Ok):
            await self.presence.apply(found.ok_value)

    async def start(self) -> None:
        """Start all components."""
        for component in (self.links, self.home_asker, self.home):
            await self.stack.enter_async_context(component)
        if self.services.limiter is not None:
            await self.stack.enter_async_context(self.services.limiter)
        await self.stack.enter_async_context(self.listener)
        for follower in self.followers:
            await self.stack.enter_async_context(follower)
        await self.stack.enter_async_context(self.presence)
        self.monitor_task = start_loop(self.monitor_connectivity)
        self.services.drain.serve()
        logger.bind(
            address=str(self.settings.caller_address),
            data_centre=self.settings.data_centre,
        ).info("proxy_started")

    async def stop(self) -> None:
        """Stop all components."""
        await end_tasks([self.monitor_task])
        await self.stack.aclose()
        for monitor in self.primary_monitors.values():
            await monitor.stop()
        for group in self.services.groups.values():
            await group.stop()
        logger.info("proxy_stopped")

    async def serve(self) -> int:
        """Serve callers until a shutdown is requested, then drain.

        Returns:
            Number of sessions that the shutdown cut.
        """
        await self.services.drain.requested.wait()
        cut_sessions, *_ = await asyncio.gather(
            self.listener.drain(self.settings.grace_s),
            self.home.drain(self.settings.grace_s),
            self.release_limits(),
        )
        self.services.drain.finish()
        logger.bind(cut_sessions=cut_sessions).info("proxy_drained")
        return cut_sessions

    async def release_limits(self) -> None:
        """Give the limits of accounts that this proxy owns to other proxies."""
        if self.services.limiter is not None:
            await self.services.limiter.release()

    async def apply_store_changes(self, changes: StoreChanges) -> None:
        """Apply a change of the operators' routes in the store."""
        for item in changes.items:
            if item.key == self.dependencies.document_key:
                await self.apply_document(item.value)

    async def apply_document(self, value: bytes) -> None:
        """Put the operators' routes in force, unless they can't be decoded."""
        try:
            result = self.dependencies.decode_document(value)
        except ProgramDefectError as error:
            self.report_defect(error)
            return
        if isinstance(result, Err):
            logger.bind(reason=result.err_value).error("routes_rejected")
            return
        if self.services.routes.apply_if_newer(result.ok_value, "store"):
            await self.apply_routes(result.ok_value)

    def report_defect(self, error: ProgramDefectError) -> None:
        """Log that the program can't read the operators' routes."""
        # The same defect shows at each version.
        if str(error) not in self.reported_defects:
            self.reported_defects.add(str(error))
            logger.opt(exception=error).critical("routes_not_read_by_defect")

    async def apply_routes(self, table: RouteTable) -> None:
        """Update, create and remove groups to match the routes in force."""
        if self.services.limiter is not None:
            await self.services.limiter.apply_table(table)
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
                self.settings.is_promotion_fenced,
                self.settings.leaving_limit_s,
            )
            groups[name] = group
            await self.directory.add_group(group)
            await self.start_primary_monitor(group)
        for name in set(groups) - set(table.groups):
            await self.primary_monitors.pop(name).stop()
            await groups.pop(name).stop()
        for group in groups.values():
            group.has_accounts = table.requires_accounts
            group.sample_age_s = compute_sample_age(table.routes.values(), group.name)
        self.update_connection_shares()
        weights = {
            database.decode("utf-8", "replace"): PRIORITY_WEIGHTS.get(route.priority, 1)
            for database, route in table.routes.items()
        }
        for account in table.accounts.values():
            weights[account.name] = PRIORITY_WEIGHTS.get(account.priority, 1)
        for group in groups.values():
            group.set_weights(weights)

    async def start_primary_monitor(self, group: Group) -> None:
        """Start to monitor a group's primary."""
        promoter = Promoter(
            group,
            self.dependencies.store,
            self.dependencies.orders,
            self.settings.name,
            lambda: self.directory.read(self.dependencies.store),
        )
        monitor = PrimaryMonitor(
            group,
            promoter,
            self.is_discovery_complete,
            lambda: group.hands_work_over and self.home_asker.is_in_reach(group),
        )
        self.primary_monitors[group.name] = monitor
        await monitor.start()

    def is_discovery_complete(self) -> bool:
        """Whether every live upstream has had time to be discovered.

        Entries that expired during an outage of the store reappear some time after it.
        A replica promoted before that could lack writes that an undiscovered upstream
        holds.
        """
        if not self.discovery_completed:
            self.discovery_completed = (
                self.store_availability.compute_available_s() > MISSING_ENTRY_LIMIT_S
            )
        return self.discovery_completed

    def update_connection_shares(self) -> None:
        """Set this proxy's share of the connections to the upstreams."""
        counts = count_proxies(self.presence, self.settings.data_centre)
        for group in self.services.groups.values():
            group.homes = self.plan_homes(group)
            group.is_home = (
                group.homes is not None and self.settings.name in group.homes.homes
            )
            group.update_connection_share(counts)

    def plan_homes(self, group: Group) -> HomePlan | None:
        """Choose the homes of a group; None if each proxy has its own connections."""
        if self.presence.entry is None:
            return None
        return plan_homes(
            group.name,
            group.limits.maximum_connections,
            self.presence.live_count,
            self.presence.proxies.values(),
        )

    async def monitor_connectivity(self) -> None:
        """Handle isolation and missing upstreams, until cancelled."""
        while True:
            await asyncio.sleep(MONITOR_INTERVAL_S)
            self.isolation.shed_if_isolated()
            await self.directory.remove_missing(
                self.store_availability.available_since_s, MISSING_ENTRY_LIMIT_S
            )


def build_entry(settings: RouteProxySettings) -> ProxyEntry | None:
    """Build what the other proxies are told of this one; None without links."""
    if settings.peer_address is None:
        return None
    return ProxyEntry(
        settings.name,
        settings.peer_address,
        settings.data_centre,
        settings.processor_share,
        __version__,
    )
