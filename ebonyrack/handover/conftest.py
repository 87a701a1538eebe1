"""Fixtures: a fleet of two homes of a group and a front, and callers of the front."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Collection

import pytest

from ebonyrack.entry import route_proxy
from ebonyrack.entry.route_proxy import RouteProxy
from ebonyrack.handover.asking import HomeState
from ebonyrack.members.group import Group
from ebonyrack.placing import connection_share
from ebonyrack.standins.line_group import StatementRecord
from ebonyrack.standins.line_system import GROUP
from ebonyrack.standins.line_system import LineCaller
from ebonyrack.standins.line_system import LineSystem

TIMEOUT_S = 10.0
# Proxies that would have to share the connections besides those of the test.
MISSING_PROXIES = 30


class Fleet:
    """Three proxies: two homes of the group and a front.

    Attributes:
        system: The platform and the proxies.
        front: The proxy that is no home.
        homes: The homes.
    """

    def __init__(self, system: LineSystem) -> None:
        self.system = system
        proxies = [each.proxy for each in system.proxies]
        self.homes = [each for each in proxies if group_of(each).is_home]
        (self.front,) = [each for each in proxies if not group_of(each).is_home]

    @property
    def records(self) -> list[StatementRecord]:
        """Statements of callers that upstreams have run."""
        return [each for each in self.system.group.records if each.request_id != "-"]

    @property
    def serving_home(self) -> RouteProxy:
        """The home that has an open transaction or serves a statement."""
        busy = [each for each in self.homes if each.home.transactions]
        return (busy or [each for each in self.homes if each.home.serving])[0]

    @property
    def states(self) -> Collection[HomeState]:
        """What the front knows of the homes that it asked."""
        return self.front.home_asker.states.values()

    def open_transactions(self) -> int:
        """Return the number of open transactions at the homes."""
        return sum(len(each.home.transactions) for each in self.homes)


def group_of(proxy: RouteProxy) -> Group:
    """Return a proxy's state of the group."""
    return proxy.services.groups[GROUP]


def has_connections(group: Group) -> bool:
    """Return whether a proxy has connections to upstreams of a group."""
    return any(each.pool.busy or each.pool.idle for each in group.members.values())


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds.

    Raises:
        TimeoutError: If that takes too long.
    """
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.005)


@pytest.fixture
def shortage(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make three proxies need homes."""
    monkeypatch.setattr(connection_share, "UNCOUNTED_PROXIES", MISSING_PROXIES)
    monkeypatch.setattr(route_proxy, "PROXIES_READ_INTERVAL_S", 0.05)


@pytest.fixture
async def fleet(shortage: None) -> AsyncIterator[Fleet]:
    """Run a platform with two homes and a front."""
    system = LineSystem(proxy_count=3)
    # Transactions that end in a test don't end because they are idle.
    system.document["limits"]["txIdleMs"] = 60000
    async with system:
        await wait_until(
            lambda: all(
                group_of(each.proxy).homes is not None
                and len(each.proxy.presence.proxies) == 3
                for each in system.proxies
            )
        )
        running = Fleet(system)
        # The connections from before the homes were known are closed.
        await wait_until(lambda: not has_connections(group_of(running.front)))
        yield running


@pytest.fixture
async def connect(
    fleet: Fleet,
) -> AsyncIterator[Callable[..., Awaitable[LineCaller]]]:
    """Return a function that opens sessions at the front, closed after the test."""
    async with contextlib.AsyncExitStack() as stack:

        async def open_caller(
            database: str = "booking", key: str = "tester"
        ) -> LineCaller:
            address = fleet.front.settings.caller_address
            caller = LineCaller(address, database, key)
            return await stack.enter_async_context(caller)

        yield open_caller
