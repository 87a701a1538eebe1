"""The platform's store comes back from a copy while proxies serve."""

import asyncio

from ebonyrack.core.clock import now_s
from ebonyrack.core.tasks import end_tasks
from ebonyrack.standins.line_system import LineSystem
from ebonyrack.standins.line_system import build_document

TIMEOUT_S = 8.0
PROXIES_PREFIX = "ebonyrack/proxies/"


def get_group(system, proxy=0):
    return system.proxies[proxy].proxy.services.groups["scheduling"]


async def wait_until(condition):
    deadline_s = now_s() + TIMEOUT_S
    while not condition():
        assert now_s() < deadline_s
        await asyncio.sleep(0.02)


async def raise_revision(system, count=200):
    """Make changes that the copy lacks, so that revisions go back far."""
    for number in range(count):
        await system.service.put(f"other/{number % 5}", b"x")


async def test_upstream_that_leaves_after_a_restoration_gets_no_new_reads(
    system, connect
):
    reader = await connect("calendar")
    system.service.take_copy()
    await raise_revision(system)
    # The proxy has read entries whose revisions the store will give out again.
    await asyncio.sleep(3.5)
    await system.service.restore_copy()
    system.group.members["up-3"].is_leaving = True
    started_s = now_s()
    await wait_until(lambda: get_group(system).members["up-3"].entry.is_leaving)
    assert now_s() - started_s < 4.0
    assert (await reader.execute("READ slot-1"))[0] == "DATAROW none"


async def test_upstream_that_was_leaving_is_not_used_again(system, connect):
    system.service.take_copy()
    system.group.members["up-3"].is_leaving = True
    await wait_until(lambda: get_group(system).members["up-3"].entry.is_leaving)
    await end_tasks([system.publisher_tasks["up-3"]])
    await system.service.restore_copy()
    await raise_revision(system, 20)
    reader = await connect("calendar")
    deadline_s = now_s() + 4.0
    while now_s() < deadline_s:
        assert get_group(system).members["up-3"].entry.is_leaving
        await reader.execute("READ slot-1")
        await asyncio.sleep(0.05)


async def test_configuration_never_goes_back_and_the_next_one_comes_in_force(
    system, connect
):
    proxy = system.proxies[0].proxy
    system.service.take_copy()
    await raise_revision(system)
    await system.service.put_json("op/config", build_document(7))
    await wait_until(lambda: proxy.services.routes.table.version == 7)
    await system.service.restore_copy()
    versions = set()
    deadline_s = now_s() + 4.0
    while now_s() < deadline_s:
        versions.add(proxy.services.routes.table.version)
        await asyncio.sleep(0.02)
    assert versions == {7}
    started_s = now_s()
    await system.service.put_json("op/config", build_document(8))
    await wait_until(lambda: proxy.services.routes.table.version == 8)
    assert now_s() - started_s < 1.0


async def test_names_of_proxies_are_written_again_and_shares_stay():
    async with LineSystem() as system:
        system.service.take_copy()
        await system.add_proxy("proxy-1")
        await asyncio.sleep(0.5)
        groups = [get_group(system, number) for number in range(2)]
        await wait_until(lambda: groups[1].live_proxies == 2)
        share = groups[1].connection_share
        await system.service.restore_copy()
        assert PROXIES_PREFIX + "proxy-1" not in system.service.items
        deadline_s = now_s() + 5.0
        while now_s() < deadline_s:
            assert groups[1].connection_share == share
            await asyncio.sleep(0.05)
        assert PROXIES_PREFIX + "proxy-1" in system.service.items


async def test_primary_that_crashes_around_a_restoration_is_replaced_once(
    system, connect
):
    caller = await connect("booking")
    for number in range(10):
        await caller.execute(f"WRITE slot-{number} mali")
    system.service.take_copy()
    await raise_revision(system)
    await system.upstreams["up-1"].stop()
    await asyncio.sleep(0.6)
    await system.service.restore_copy()
    await wait_until(lambda: len(system.group.promotions) == 1)
    answer = ["ERROR"]
    while not answer[0].startswith("COMPLETE"):
        answer = await caller.execute("WRITE slot-x mali")
        await asyncio.sleep(0.05)
    assert len(system.group.promotions) == 1
    assert system.group.find_lost_entries() == []
    assert system.service.lower_tokens == []


async def test_second_promotion_after_a_restoration_has_a_higher_token(system, connect):
    caller = await connect("booking")
    await caller.execute("WRITE slot-1 mali")
    system.service.take_copy()
    await raise_revision(system)
    await system.upstreams["up-1"].stop()
    await wait_until(lambda: len(system.group.promotions) == 1)
    await system.service.restore_copy()
    await system.upstreams["up-1"].start()
    system.group.follow(system.group.members["up-1"], system.group.primary)
    await system.publish_entry(system.upstreams["up-1"])
    await wait_until(lambda: system.proxies[0].store.generation == 2)
    await system.upstreams[system.group.primary.member_id].stop()
    await wait_until(lambda: len(system.group.promotions) == 2)
    tokens = [token for _, _, token in system.service.accepted_orders]
    assert tokens == sorted(set(tokens))
    assert system.service.lower_tokens == []
    assert system.group.find_lost_entries() == []
