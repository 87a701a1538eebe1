"""Reads leave an upstream that fails a part of its statements."""

import asyncio

import pytest

from ebonyrack.standins.line_system import build_document
from ebonyrack.standins.line_system import require_accounts

# Longer than the pause after a single failure.
PAUSE_S = 0.4
FAILING = "up-2"


async def read_where(system, caller, item):
    """Read an item; return the upstream that served it."""
    assert (await caller.execute(f"READ {item}"))[0].startswith("DATAROW")
    return system.group.records[-1].member_id


@pytest.mark.parametrize("has_accounts", [True, False])
async def test_reads_leave_an_upstream_that_fails_some(system, connect, has_accounts):
    document = build_document(2)
    if has_accounts:
        document = require_accounts(document, {"buyer": ["key-1"]})
    await system.change_document(document)
    caller = await connect("calendar", key="key-1")
    for name in ("up-1", "up-3"):
        system.upstreams[name].faults.delay_s = 0.1
    failing = system.upstreams[FAILING]
    for number in range(2):
        failing.faults.rejections = ["FAILED"]
        await read_where(system, caller, f"slot-{number}")
        assert failing.faults.rejections == []
        await asyncio.sleep(PAUSE_S)
        if number == 0:
            # One failure is no pattern.
            assert await read_where(system, caller, "slot-9") == FAILING
    served = {await read_where(system, caller, f"item-{each}") for each in range(5)}
    assert (FAILING not in served) is has_accounts
