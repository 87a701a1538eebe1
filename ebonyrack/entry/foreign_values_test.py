"""Values of other writers in the store, while proxies run and as they start."""

import asyncio
import json

import pytest
from loguru import logger

from ebonyrack.members.presence import PREFIX as PROXIES_PREFIX
from ebonyrack.standins.line_system import LineCaller
from ebonyrack.standins.line_system import LineSystem

TIMEOUT_S = 10.0
VALID = {
    "service": "scheduling",
    "address": "127.0.0.1:9",
    "zone": "bangkok-a",
    "version": "v1",
    "slots": 3,
    "phase": "ready",
    "coldRemainingMs": 0,
    "dbRole": "replica",
    "born": 1,
}


def change(**fields):
    return json.dumps({**VALID, **fields}).encode()


FOREIGN_VALUES = {
    "nested-list": b"[" * 2000,
    "nested-object": b'{"service":' * 50_000,
    "nested-field": change(zone=0).replace(b'"zone": 0', b'"zone": ' + b"[" * 3000),
    "long-number": change(born=0).replace(b'"born": 0', b'"born": ' + b"9" * 5000),
    "large-number": change(born=10**300, slots=10**300),
    "infinite-number": change(slots=float("inf")),
    "negative-number": change(slots=-1),
    "port-out-of-range": change(address="127.0.0.1:65536"),
    "port-zero": change(address="127.0.0.1:0"),
    "long-port": change(address="127.0.0.1:" + "1" * 5000),
    "host-out-of-range": change(address="127.0.0.256:80"),
    "host-name": change(address="\u00e9\u0000." * 90 + ":80"),
    "blank-in-service": change(service="scheduling tester\r\nQUERY 1 WRITE a b"),
    "surrogate": change(service="\ud800", zone="\ud800"),
    "other-types": change(address=["127.0.0.1:80"], zone={}, phase=[], dbRole=None),
    "bytes": bytes(range(256)),
    "null-bytes": b"\x00" * 100_000,
}


@pytest.fixture
async def system():
    async with LineSystem() as running:
        yield running


async def write_foreign_value(system, value):
    # Before, between and behind the keys that are in use.
    for key in ("servers/a-1", "servers/up-2x", "servers/zz", "servers/a b\r\nc"):
        await system.service.put(key, value)
    await system.service.put(PROXIES_PREFIX + "a-1", value)


async def wait_for_members(proxy, expected):
    group = proxy.proxy.services.groups["scheduling"]
    async with asyncio.timeout(TIMEOUT_S):
        while set(group.members) != expected:
            await asyncio.sleep(0.02)


@pytest.mark.parametrize("name", FOREIGN_VALUES)
async def test_foreign_value_hides_nothing_from_a_proxy_that_runs(system, name):
    # The reader of the entries ended at it, and later changes were missed.
    await write_foreign_value(system, FOREIGN_VALUES[name])
    await system.add_upstream("up-4")
    await wait_for_members(system.proxies[0], {"up-1", "up-2", "up-3", "up-4"})
    system.group.members["up-3"].is_leaving = True
    group = system.proxies[0].proxy.services.groups["scheduling"]
    async with asyncio.timeout(TIMEOUT_S):
        while not group.members["up-3"].entry.is_leaving:
            await asyncio.sleep(0.02)


@pytest.mark.parametrize("name", FOREIGN_VALUES)
async def test_foreign_value_keeps_no_proxy_from_starting(system, name):
    # Restarted proxies served nothing for as long as it was there.
    await write_foreign_value(system, FOREIGN_VALUES[name])
    async with asyncio.timeout(TIMEOUT_S):
        proxy = await system.add_proxy("proxy-1")
    await wait_for_members(proxy, {"up-1", "up-2", "up-3"})
    async with LineCaller(proxy.proxy.settings.caller_address, "booking") as caller:
        answer = await caller.execute("WRITE slot-1 mali")
    assert answer[0].startswith("COMPLETE sig")


@pytest.mark.parametrize("name", FOREIGN_VALUES)
async def test_unreadable_configuration_leaves_the_known_one_in_force(system, name):
    proxy = system.proxies[0].proxy
    version = proxy.services.routes.table.version
    await system.service.put("op/config", FOREIGN_VALUES[name])
    await asyncio.sleep(0.3)
    assert proxy.services.routes.table.version == version
    document = {**system.document, "version": version + 3}
    async with asyncio.timeout(TIMEOUT_S):
        await system.change_document(document)


async def test_foreign_value_is_logged_once_a_change(system):
    # Each reading logged a traceback.
    proxy = system.proxies[0].proxy
    lines = []
    sink = logger.add(lambda line: lines.append(line.record["message"]))
    try:
        await write_foreign_value(system, FOREIGN_VALUES["nested-list"])
        for _ in range(5):
            await proxy.directory.read(system.proxies[0].store)
            await proxy.refresh_proxies()
    finally:
        logger.remove(sink)
    assert lines.count("upstream_entry_unreadable") == 4
    assert lines.count("proxy_entry_unreadable") == 1
    assert not [line for line in lines if line == "loop_failed"]
