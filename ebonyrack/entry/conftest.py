"""Fixtures: a simulated platform and callers of its proxies."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import AsyncExitStack

import pytest

from ebonyrack.entry.caller_connection import CallerConnection
from ebonyrack.standins.line_group import StatementRecord
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


def list_runs(system: LineSystem) -> list[tuple[str, str]]:
    """Return the ID and text of each statement that upstreams ran for callers."""
    return [
        (record.request_id, record.text)
        for record in system.group.records
        if record.request_id != "-"
    ]


def find_run(system: LineSystem, request_id: str) -> StatementRecord:
    """Return the record of the only run of a request."""
    (record,) = [each for each in system.group.records if each.request_id == request_id]
    return record


def get_connection(system: LineSystem) -> CallerConnection:
    """Return the only connection of the first proxy to a caller."""
    (connection,) = system.proxies[0].proxy.listener.connections.values()
    return connection


async def check_in_step(caller: LineCaller, state: str = "I") -> None:
    """Check that the next message gets its own answer."""
    reply = await caller.execute("READ other-item")
    assert [line.partition(" ")[0] for line in reply] == [
        "DATAROW",
        "COMPLETE",
        "READY",
    ]
    assert reply[0] == "DATAROW none"
    assert reply[2] == f"READY {state} -"
