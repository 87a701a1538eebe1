"""Reads leave an upstream that fails a part of its statements."""

import asyncio

import pytest

from ebonyrack.standins.line_system import build_document
from ebonyrack.standins.line_system import require_accounts

# Longer than the pause after a single failure.
PAUSE_S = 0.4
FAILING = "up-2"
READS = 10


async def read_where(system, caller, item):
    """Read an item; return the upstream that served it."""
    assert (await caller.execute(f"READ {item}"))[0].startswith("DATAROW")
    return system.group.records[-1].member_id


async def reads_reach(system, caller, member_id):
    """Return whether one of several reads is served by an upstream."""
    for _ in range(READS):
        if await read_where(system, caller, "slot-1") == member_id:
            return True
    return False


@pytest.mark.parametrize("has_accounts", [True, False])
async def test_reads_leave_an_upstream_that_fails_some(system, connect, has_accounts):
    document = build_document(2)
    if has_accounts:
        document = require_accounts(document, {"buyer": ["key-1"]})
    await system.change_document(document)
    caller = await connect("calendar", key="key-1")
    for name in ("up-1", "up-3"):
        system.upstreams[name].faults.delay_s = 0.1
    failures = system.upstreams[FAILING].faults.rejections
    for _ in range(2):
        # Reads without a recent sample of the primary's position go to the primary.
        assert await reads_reach(system, caller, FAILING)
        failures.append("FAILED")
        while failures:
            await read_where(system, caller, "slot-1")
        await asyncio.sleep(PAUSE_S)
    assert await reads_reach(system, caller, FAILING) is not has_accounts
