"""One proxy in front of upstreams that don't accept a connection from every proxy."""

import asyncio
from collections import Counter

import pytest

from ebonyrack.core import metrics
from ebonyrack.placing.connection_share import ProxyCounts
from ebonyrack.standins.line_system import LineCaller
from ebonyrack.standins.line_system import LineSystem
from ebonyrack.standins.line_system import build_document

WAIT_S = 5.0
PROXIES = 118


@pytest.fixture
async def scarce_system(system):
    document = build_document(2)
    document["services"][0]["maxConnections"] = 3
    await system.change_document(document)
    return system


def get_members(system):
    (group,) = system.proxies[0].proxy.services.groups.values()
    return group.members.values()


async def test_connections_are_closed_after_use(scarce_system, connect):
    caller = await connect("booking")
    for text in ("READ slot-1", "WRITE slot-1 mali", "READ slot-1"):
        assert (await caller.execute(text))[-1].startswith("READY")
    assert not any(member.pool.idle for member in get_members(scarce_system))


async def test_primary_is_probed_rarely(scarce_system, connect):
    (group,) = scarce_system.proxies[0].proxy.services.groups.values()
    group.update_connection_share(ProxyCounts(PROXIES, PROXIES, PROXIES))
    await asyncio.sleep(0.5)
    records = scarce_system.group.records
    before = len(records)
    await asyncio.sleep(3.0)
    # Usually six or seven.
    assert sum(record.text == "BEGIN" for record in records[before:]) <= 2


class OutcomeCounter:
    """Counts openings of connections by outcome, as the metric does."""

    def __init__(self):
        self.counts = Counter()

    def add(self, count, labels):
        self.counts[labels["outcome"]] += count


async def test_write_waits_for_a_connection_of_a_full_primary(
    scarce_system, connect, monkeypatch
):
    openings = OutcomeCounter()
    monkeypatch.setattr(metrics, "connections_opened", openings)
    caller = await connect("booking")
    upstream = scarce_system.upstreams["up-1"]
    upstream.faults.is_full = True
    writing = asyncio.create_task(caller.execute("WRITE slot-1 mali"))
    await asyncio.sleep(0.1)
    assert not writing.done()
    upstream.faults.is_full = False
    async with asyncio.timeout(WAIT_S):
        assert (await writing)[0].startswith("COMPLETE sig")
    assert openings.counts["opened"] and openings.counts["too_many_connections"]


async def test_read_goes_to_an_upstream_with_room(scarce_system, connect):
    caller = await connect("calendar")
    await caller.execute("READ slot-1")
    for name in ("up-1", "up-2"):
        scarce_system.upstreams[name].faults.is_full = True
    async with asyncio.timeout(WAIT_S):
        assert (await caller.execute("READ slot-1"))[0] == "DATAROW none"


OPERATIONS = (
    ("READ slot-1",),
    ("WRITE slot-1 mali",),
    ("BEGIN", "READ slot-2", "WRITE slot-2 mali", "COMMIT"),
    ("BEGIN READ", "READ slot-3", "COMMIT"),
)


async def run_operations(proxy):
    """Run each operation through a proxy; return the replies that are errors."""
    errors = []
    address = proxy.proxy.settings.caller_address
    async with LineCaller(address, "booking") as caller:
        for texts in OPERATIONS:
            replies = [await caller.execute(text) for text in texts]
            errors += [reply for reply in replies if reply[0].startswith("ERROR")]
    return errors


async def test_callers_of_more_proxies_than_connections_are_served():
    async with LineSystem(proxy_count=8) as system:
        document = build_document(2)
        document["services"][0]["maxConnections"] = 6
        await system.change_document(document)
        for upstream in system.upstreams.values():
            upstream.faults.maximum_connections = 6
        for proxy in system.proxies:
            while proxy.proxy.presence.live_count < len(system.proxies):
                await asyncio.sleep(0.1)
            # As builds without links, which have no homes.
            proxy.proxy.presence.entry = None
            proxy.proxy.update_connection_shares()
        async with asyncio.timeout(4 * WAIT_S):
            errors = [await run_operations(proxy) for proxy in system.proxies]
        assert errors == [[]] * len(system.proxies)
