import asyncio
import math

import pytest

from ebonyrack.config.edit import Accepted
from ebonyrack.config.edit import build_edit
from ebonyrack.config.edit_attempt import EditAttempt
from ebonyrack.config.edit_test import TEXT
from ebonyrack.config.stored import EMPTY_STORED
from ebonyrack.config.stored import pack_stored
from ebonyrack.config.watch import FIRST_BACKOFF_S
from ebonyrack.config.watch import PROBE_AFTER_FRACTION
from ebonyrack.core.clock import now_s
from ebonyrack.core.settings import StoreSettings
from ebonyrack.peers.member_messages import Heartbeat
from ebonyrack.standins.control_plane import wait_until
from ebonyrack.standins.key_value import Node

# A change of the configuration is in force everywhere within this time.
PROPAGATION_LIMIT_S = 11.0


async def apply_edit(plane, old="", new="", edit_id="first"):
    base = plane.state.stored if old else EMPTY_STORED
    wanted = base.text.replace(old, new) if old else TEXT
    edit = build_edit(edit_id, "ada", base, wanted)
    attempt = EditAttempt(plane.store, plane.state, edit, now_s() + 10)
    outcome = await attempt.run()
    assert isinstance(outcome, Accepted)
    return outcome.revision


async def test_an_accepted_edit_comes_into_force_everywhere(fleet):
    for _ in range(4):
        await fleet.add()
    await fleet.wait_until_connected()
    await fleet.wait_for_revision(await apply_edit(fleet.planes[2]))
    revision = await apply_edit(
        fleet.planes[3], "user = booking", "user = new", "second"
    )
    await fleet.wait_for_revision(revision)
    assert len({plane.state.stored for plane in fleet.planes}) == 1


async def test_few_proxies_of_a_data_centre_watch_the_store(fleet):
    for number in range(6):
        await fleet.add(data_centre=f"dc-{number % 2}", watchers=1)
    await fleet.wait_until_connected()
    watchers = [plane for plane in fleet.planes if plane.watch.is_watcher]
    assert len(watchers) == 2
    assert len({plane.settings.proxy.data_centre for plane in watchers}) == 2
    # A change written directly to the store arrives through the watchers.
    stored = pack_stored(StoredRevision(3).stored)
    fleet.platform.state.put("ebonyrack/document", stored, None, 0)
    await fleet.wait_for_revision(3)


class StoredRevision:
    def __init__(self, revision):
        self.stored = type(EMPTY_STORED)(revision, TEXT, ())


async def test_a_proxy_starts_from_a_peer_while_the_store_is_down(fleet):
    first = await fleet.add()
    revision = await apply_edit(first)
    await fleet.platform.stop()
    late = await fleet.add("late")
    await fleet.wait_for_revision(revision)
    assert late.state.document.groups.keys() == {"a"}


async def test_revision_never_decreases_after_a_restart_or_a_stale_read(fleet):
    first = await fleet.add()
    await apply_edit(first)
    await apply_edit(first, "user = booking", "user = new", "second")
    fleet.platform.stale_reads = 3
    late = await fleet.add("late")
    await fleet.wait_for_revision(2)
    seen = []
    late.state.subscribe(lambda document: seen.append(document.revision))
    old = StoredRevision(1).stored
    assert not late.state.apply_if_newer(old, "peer")
    fleet.platform.state.put("ebonyrack/document", pack_stored(old), None, 0)
    await wait_until(lambda: first.store.calls["watch"] > 2)
    assert seen == []
    assert first.state.revision == 2


async def test_a_proxy_alone_without_the_store_is_cut_off(fleet):
    first = await fleet.add()
    second = await fleet.add("second")
    await fleet.wait_until_connected()
    await apply_edit(first)
    await fleet.platform.stop()
    await wait_until(lambda: now_s() - first.store.answered_at_s > 0.7)
    # Only the store is down, so the proxies still have contact.
    assert not first.watch.is_cut_off
    await fleet.remove(second)
    await wait_until(lambda: first.watch.is_cut_off)
    await fleet.platform.start()
    await wait_until(lambda: not first.watch.is_cut_off)


async def test_a_proxy_alone_with_an_unchanged_store_is_not_cut_off(fleet):
    plane = await fleet.add()
    await apply_edit(plane)
    reads = plane.store.calls["get"]
    cut_off = []

    def check():
        cut_off.append(plane.watch.is_cut_off)
        return plane.store.calls["get"] > reads + 4

    await wait_until(check)
    assert not any(cut_off)


@pytest.mark.parametrize("has_peer", [True, False])
async def test_document_is_verified_after_a_long_pause(fleet, has_peer):
    first = await fleet.add()
    await apply_edit(first)
    if has_peer:
        await fleet.add("second")
        await fleet.wait_until_connected()
    # Contact before the pause doesn't count, even while nobody replies now.
    links_before = first.hub.links.copy()
    if not has_peer:
        fleet.platform.is_down = True
    first.hub.heartbeat.pause_detector.schedule(-3.0)
    first.hub.heartbeat.check_pause()
    assert first.watch.is_cut_off
    assert not first.watch.verification.is_verified
    fleet.platform.is_down = False
    await wait_until(lambda: not first.watch.is_cut_off)
    assert links_before.keys() == first.hub.links.keys()


@pytest.mark.parametrize("fault", ["stopped", "is_down", "delay_s"])
async def test_failing_watches_back_off(fleet, fault):
    plane = await fleet.add()
    await apply_edit(plane)
    if fault == "stopped":
        await fleet.platform.stop()
    else:
        setattr(fleet.platform, fault, 30.0)
    before = plane.store.calls.copy()
    started_s = now_s()
    await wait_until(lambda: now_s() - started_s > 2.0)
    elapsed_s = now_s() - started_s
    calls = plane.store.calls - before
    # Two watches, each with a first delay of at least 0.1 s that then doubles.
    maximum_calls = 2 + math.log2(1 + elapsed_s / 0.1)
    assert calls["watch"] <= maximum_calls
    assert calls["watch_vms"] <= maximum_calls
    # One probe at a time, at an interval that depends on the cut-off time.
    interval_s = 0.5 * PROBE_AFTER_FRACTION * plane.settings.peers.cut_off_after_s
    assert calls.total() <= 2 * maximum_calls + elapsed_s / interval_s + 1
    fleet.platform.is_down = False
    fleet.platform.delay_s = 0.0
    if fault == "stopped":
        await fleet.platform.start()
    revision = await apply_edit(plane, "user = booking", "user = new", "second")
    await fleet.wait_for_revision(revision)


async def test_leaving_vms_are_known_everywhere(fleet):
    for _ in range(4):
        await fleet.add(watchers=1)
    await fleet.wait_until_connected()
    changes = []
    for plane in fleet.planes:
        plane.watch.leaving_vms.subscribe(lambda: changes.append(1))
    node = Node("up-2", "127.0.2.2", "bangkok-1", "leaving")
    fleet.platform.state.set_nodes([node])
    await wait_until(
        lambda: all(plane.watch.leaving_vms.names == {"up-2"} for plane in fleet.planes)
    )
    assert len(changes) == 4
    late = await fleet.add("late", watchers=1)
    await wait_until(lambda: late.watch.leaving_vms.names == {"up-2"})


async def test_whole_document_is_fetched_if_changes_do_not_apply(fleet):
    first = await fleet.add()
    second = await fleet.add()
    await fleet.wait_until_connected()
    await fleet.wait_for_revision(await apply_edit(first))
    other = type(EMPTY_STORED)(1, TEXT + "# drifted\n", ())
    second.state.stored = other
    revision = await apply_edit(first, "user = booking", "user = new", "second")
    await fleet.wait_for_revision(revision)
    assert second.state.stored == first.state.stored


async def test_invalid_document_is_not_requested_again(fleet):
    first = await fleet.add()
    await apply_edit(first)
    bad = type(EMPTY_STORED)(9, "[colour red]\nx = 1\n", ())
    assert not first.state.apply_if_newer(bad, "peer")
    assert first.state.revision == 1
    assert not first.watch.propagation.should_fetch(9)
    assert first.watch.propagation.should_fetch(10)


async def test_revision_lost_on_a_link_is_fetched_after_the_next_heartbeat(fleet):
    first = await fleet.add(watchers=1)
    second = await fleet.add(watchers=1)
    await fleet.wait_until_connected()
    await fleet.wait_for_revision(await apply_edit(first))
    watcher = first if first.watch.is_watcher else second
    other = second if watcher is first else first
    watcher.hub.send_to_links = lambda message, source: None
    async with asyncio.timeout(10):
        await apply_edit(watcher, "user = booking", "user = new", "second")
    assert Heartbeat in other.hub.handlers
    await fleet.wait_for_revision(2)


def test_lost_response_to_a_watch_hides_no_change_past_the_limit():
    # The store may add a sixteenth to the wait; then the watch is repeated.
    store = StoreSettings(address="127.0.0.1:8500")
    hidden_s = store.watch_s * 17 / 16 + 2 * store.timeout_s + FIRST_BACKOFF_S
    assert hidden_s < PROPAGATION_LIMIT_S
