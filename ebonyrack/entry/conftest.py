"""Fixtures: a whole platform of stand-ins, and callers of its proxies."""

from contextlib import AsyncExitStack

import pytest

from ebonyrack.standins.line_system import LineCaller
from ebonyrack.standins.line_system import LineSystem


@pytest.fixture
async def system():
    """Run a platform with one proxy."""
    async with LineSystem() as running:
        yield running


@pytest.fixture
async def connect(system):
    """Open sessions of callers, closed at the end of the test."""
    async with AsyncExitStack() as stack:

        async def open_caller(database, proxy=0):
            address = system.proxies[proxy].proxy.settings.caller_address
            caller = LineCaller(address, database)
            return await stack.enter_async_context(caller)

        yield open_caller
