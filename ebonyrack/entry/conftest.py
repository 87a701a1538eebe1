"""Fixtures: a simulated platform and callers of its proxies."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import AsyncExitStack

import pytest

from ebonyrack.standins.line_system import LineCaller
from ebonyrack.standins.line_system import LineSystem


@pytest.fixture
async def system() -> AsyncIterator[LineSystem]:
    """Run a simulated platform with one proxy."""
    async with LineSystem() as running:
        yield running


@pytest.fixture
async def connect(
    system: LineSystem,
) -> AsyncIterator[Callable[..., Awaitable[LineCaller]]]:
    """Return a function that opens caller sessions, closed after the test."""
    async with AsyncExitStack() as stack:

        async def open_caller(
            database: str, proxy: int = 0, key: str = "tester"
        ) -> LineCaller:
            address = system.proxies[proxy].proxy.settings.caller_address
            caller = LineCaller(address, database, key)
            return await stack.enter_async_context(caller)

        yield open_caller
