"""Proxies that run only their control plane, and the platform, in one event loop."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass

from ebonyrack.config.edit_handler import EditHandler
from ebonyrack.config.state import ConfigurationState
from ebonyrack.config.watch import ConfigurationWatch
from ebonyrack.core.address import Address
from ebonyrack.core.component import Component
from ebonyrack.core.settings import Settings
from ebonyrack.core.settings import parse_settings
from ebonyrack.peers.hub import PeerHub
from ebonyrack.standins.platform import StandinPlatform
from ebonyrack.store.consul_store import ConsulStore

SECRET = "the secret of a test"
SECRET_BYTES = 8
CONDITION_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.01
MAXIMUM_SEEDS = 3

SETTINGS = """
[proxy]
name = {name}
data_centre = {data_centre}
caller_address = 127.0.0.1:0
peer_address = 127.0.0.1:0
[store]
address = {store}
timeout_s = {timeouts.store_s}
watch_s = {timeouts.watch_s}
maximum_calls_per_s = {timeouts.calls_per_s}
watchers_per_data_centre = {watchers}
[peers]
seeds = {seeds}
secret = {secret}
heartbeat_interval_s = {timeouts.heartbeat_s}
suspect_after_s = {timeouts.suspect_s}
dead_after_s = {timeouts.dead_s}
cut_off_after_s = {timeouts.cut_off_s}
"""


@dataclass(frozen=True, slots=True)
class Timeouts:
    """Timeouts and rates of the proxies; the defaults are for tests.

    Attributes:
        store_s: Timeout of a call to the store, in seconds.
        watch_s: Longest wait of a watch, in seconds.
        calls_per_s: Maximum rate of calls to the store, per second.
        heartbeat_s: Seconds between heartbeats.
        suspect_s: Seconds of silence until a peer is suspected.
        dead_s: Seconds of silence until a peer is considered dead.
        cut_off_s: Seconds without contact until a proxy is considered cut off.
    """

    store_s: float = 0.5
    watch_s: float = 5.0
    calls_per_s: float = 50.0
    heartbeat_s: float = 0.05
    suspect_s: float = 0.4
    dead_s: float = 0.8
    cut_off_s: float = 0.6


DAEMON_TIMEOUTS = Timeouts(1.0, 30.0, 5.0, 0.2, 0.8, 2.0, 10.0)


def build_settings(
    name: str,
    store: Address,
    seeds: list[Address],
    data_centre: str = "bangkok-1",
    watchers: int = 2,
    timeouts: Timeouts | None = None,
    secret: str = SECRET,
) -> Settings:
    """Build the settings of one proxy.

    Args:
        name: Its name.
        store: Address of the platform's store.
        seeds: Addresses of the peers to connect to first.
        data_centre: Its data centre.
        watchers: Proxies of a data centre that watch the store.
        timeouts: Timeouts and rates.
        secret: Secret shared by the proxies.

    Returns:
        The settings.
    """
    text = SETTINGS.format(
        name=name,
        data_centre=data_centre,
        store=store,
        seeds=" ".join(map(str, seeds)),
        secret=secret,
        watchers=watchers,
        timeouts=timeouts or Timeouts(),
    )
    settings, errors = parse_settings(text, name)
    if settings is None:
        raise ValueError("; ".join(map(str, errors)))
    return settings


class ControlPlane(Component):
    """One proxy without callers and upstreams: an async context manager.

    Attributes:
        settings: Its settings.
        state: The document in force.
        store: Client of the store.
        hub: Links to the peers.
        watch: Keeps the document up to date.
        edit_handler: Handles operators' edits.
    """

    __slots__ = ("settings", "state", "store", "hub", "watch", "edit_handler", "stack")

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.state = ConfigurationState()
        self.store = ConsulStore(settings.store)
        self.hub = PeerHub(settings)
        self.watch = ConfigurationWatch(settings, self.state, self.store, self.hub)
        self.edit_handler = EditHandler(self.state, self.store, self.hub)
        self.stack = AsyncExitStack()

    async def start(self) -> None:
        """Start the store client, the links to peers and the watch."""
        await self.stack.enter_async_context(self.store)
        await self.stack.enter_async_context(self.hub)
        await self.stack.enter_async_context(self.watch)

    async def stop(self) -> None:
        """Stop what was started, in reverse order."""
        await self.stack.aclose()

    @property
    def name(self) -> str:
        """Name of the proxy."""
        return self.settings.proxy.name


class Fleet(Component):
    """Several control planes and the platform: an async context manager.

    Attributes:
        platform: The platform's stand-in.
        planes: The running proxies.
        timeouts: Timeouts and rates of the proxies.
        secret: Secret shared by the proxies of this fleet only.
    """

    __slots__ = ("platform", "planes", "timeouts", "secret")

    def __init__(self, timeouts: Timeouts | None = None) -> None:
        self.platform = StandinPlatform()
        self.planes: list[ControlPlane] = []
        self.timeouts = timeouts or Timeouts()
        # Another fleet on this machine may be given the port of a removed proxy.
        self.secret = secrets.token_hex(SECRET_BYTES)

    async def start(self) -> None:
        """Start the platform."""
        await self.platform.start()

    async def stop(self) -> None:
        """Stop all proxies and the platform."""
        while self.planes:
            await self.remove(self.planes[-1])
        await self.platform.stop()

    async def add(
        self, name: str = "", data_centre: str = "bangkok-1", watchers: int = 2
    ) -> ControlPlane:
        """Start one more proxy.

        Args:
            name: Its name; a numbered one if empty.
            data_centre: Its data centre.
            watchers: Proxies of a data centre that watch the store.

        Returns:
            The proxy.
        """
        settings = build_settings(
            name or f"proxy-{len(self.planes)}",
            self.platform.address,
            [plane.hub.address for plane in self.planes[:MAXIMUM_SEEDS]],
            data_centre,
            watchers,
            self.timeouts,
            self.secret,
        )
        plane = ControlPlane(settings)
        self.planes.append(plane)
        await plane.start()
        return plane

    async def remove(self, plane: ControlPlane) -> None:
        """Stop a proxy without notifying the others."""
        self.planes.remove(plane)
        await plane.stop()

    async def wait_until_connected(self) -> None:
        """Wait until every proxy has all proxies as live members."""
        count = len(self.planes)
        await wait_until(
            lambda: all(
                len(plane.hub.membership.live_members()) == count
                for plane in self.planes
            )
        )

    async def wait_for_revision(self, revision: int) -> None:
        """Wait until all proxies run a revision."""
        await wait_until(
            lambda: all(plane.state.revision >= revision for plane in self.planes)
        )


async def wait_until(
    condition: Callable[[], bool], limit_s: float = CONDITION_TIMEOUT_S
) -> None:
    """Wait until a condition holds.

    Args:
        condition: Polled until it returns True.
        limit_s: Seconds after which a TimeoutError is raised.
    """
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(POLL_INTERVAL_S)
