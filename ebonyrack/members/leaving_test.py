"""Work for a primary that is leaving, up to the time that the platform allows."""

import asyncio

import pytest
from msgspec.structs import replace

from ebonyrack.core.clock import boot_time_s
from ebonyrack.members.leaving import SENDING_MARGIN_S
from ebonyrack.members.leaving import measure_overtime
from ebonyrack.placing.primary_outage import EXPECTED_DISCOVERY_S
from ebonyrack.placing.primary_outage import EXPECTED_PLANNED_CHANGE_S
from ebonyrack.standins.line_system import LineCaller
from ebonyrack.standins.line_system import LineSystem


@pytest.fixture
async def system():
    async with LineSystem() as running:
        group = running.proxies[0].proxy.services.groups["scheduling"]
        group.leaving_limit_s = SENDING_MARGIN_S + 0.3
        yield running


def get_group(system):
    return system.proxies[0].proxy.services.groups["scheduling"]


async def test_no_work_reaches_a_leaving_primary_past_its_time(system):
    address = system.proxies[0].proxy.settings.caller_address
    # No replica can succeed it.
    for member_id in ("up-2", "up-3"):
        system.upstreams[member_id].faults.is_silent = True
    async with LineCaller(address, "booking") as caller:
        system.group.members["up-1"].is_leaving = True
        primary = get_group(system).members["up-1"]
        while not measure_overtime(primary, get_group(system).leaving_limit_s):
            await asyncio.sleep(0.02)
        count = len(system.group.records)
        for text in ("WRITE slot-1 mali", "READ slot-1"):
            answer = await caller.execute(text)
            assert answer[0].startswith("ERROR BUSY")
            assert "retry after" in answer[0]
        await caller.execute("BEGIN")
        answer = await caller.execute("READ slot-1")
        assert answer[0].startswith("ERROR BUSY") or "ABORTED" in answer[0]
        sent = system.group.records[count:]
        assert [each for each in sent if each.request_id != "-"] == []


async def test_time_of_a_leaving_upstream_counts_from_the_reading_before(system):
    directory = system.proxies[0].proxy.directory
    group = get_group(system)
    primary = group.members["up-1"]
    assert measure_overtime(primary, 5.0) == 0.0
    read_at_s = directory.read_at_s
    await group.apply_entry(replace(primary.entry, is_leaving=True), read_at_s)
    assert primary.leaving_since_s == read_at_s
    # A later reading doesn't begin its time again.
    await group.apply_entry(primary.entry, boot_time_s())
    assert primary.leaving_since_s == read_at_s
    primary.leaving_since_s = boot_time_s() - 5.0
    assert measure_overtime(primary, 5.0) >= SENDING_MARGIN_S
    assert measure_overtime(primary, None) == 0.0


async def test_requests_wait_for_the_successor_of_a_leaving_primary(system):
    group = get_group(system)
    primary = group.members["up-1"]
    group.record_not_primary(primary)
    assert group.estimate_outage() == EXPECTED_DISCOVERY_S
    await group.apply_entry(replace(primary.entry, is_leaving=True))
    assert group.estimate_outage() == EXPECTED_PLANNED_CHANGE_S
