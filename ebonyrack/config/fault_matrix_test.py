"""Injects each fault at each step of an edit, and into a join and a leave."""

import asyncio
import contextlib
from dataclasses import replace

import pytest

from ebonyrack.config import edit_attempt
from ebonyrack.config.edit import Accepted
from ebonyrack.config.edit import build_edit
from ebonyrack.config.edit_attempt import EditAttempt
from ebonyrack.config.edit_test import TEXT
from ebonyrack.config.stored import unpack_stored
from ebonyrack.core.clock import now_s
from ebonyrack.ops.client import ProxyAccess
from ebonyrack.ops.document_access import ProxyDocument
from ebonyrack.peers.member import MemberState
from ebonyrack.peers.request_link import PeerLostError
from ebonyrack.standins.control_plane import wait_until

STEPS = ["read", "check", "swap", "answer", "announce", "apply"]
FAULTS = ["down", "slow", "lost", "stale", "killed", "frozen", "cut", "rival"]
FAULT_S = 0.4
FREEZE_S = 1.0
LIMIT_S = 0.8
KEY = "ebonyrack/document"


class Bench:
    """Three proxies, an operator connected to the first, one fault at one step."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.first, self.second, self.third = fleet.planes
        self.tasks = set()
        self.revisions = {plane.name: [] for plane in fleet.planes}
        for plane in fleet.planes:
            seen = self.revisions[plane.name]
            plane.state.subscribe(
                lambda document, seen=seen: seen.append(document.revision)
            )

    def build_recorder(self, name):
        return lambda document: self.revisions[name].append(document.revision)

    def start_task(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        return task

    async def finish(self):
        await asyncio.gather(*self.tasks)

    def read_stored(self):
        return unpack_stored(self.fleet.platform.state.entries[KEY].value)

    async def edit_directly(self, plane, old, new, edit_id):
        base = plane.state.stored
        wanted = base.text.replace(old, new) if base.revision else TEXT
        edit = build_edit(edit_id, "ada", base, wanted)
        return await EditAttempt(plane.store, plane.state, edit, now_s() + 10).run()

    async def edit_until_accepted(self, edit):
        proxies = tuple(plane.hub.address for plane in self.fleet.planes)
        access = ProxyAccess(proxies, self.fleet.secret, "ada", "", 2.0)
        for _ in range(30):
            with contextlib.suppress(PeerLostError):
                reply = await ProxyDocument(access).change(edit, LIMIT_S)
                if reply.outcome == "accepted":
                    return reply.revision
                assert reply.outcome in ("unknown", "not_accepted"), reply
                if reply.outcome == "unknown":
                    edit = replace(edit, is_repeat=True)
        raise AssertionError("the edit was never accepted")

    def arm(self, step, fault, monkeypatch):
        """Inject the fault when the first proxy reaches the step for the first time."""
        self.action = getattr(self, f"inject_{fault}")
        first = self.first
        if step in ("read", "swap", "answer"):
            name = "get" if step == "read" else "compare_and_swap"
            call = getattr(first.store, name)

            async def call_with_fault(*arguments):
                if step != "answer":
                    await self.trigger_fault()
                result = await call(*arguments)
                if step == "answer":
                    await self.trigger_fault()
                return result

            monkeypatch.setattr(first.store, name, call_with_fault, raising=True)
            return
        owner, name = {
            "check": (edit_attempt, "check_edit"),
            "announce": (first.hub, "send_to_links"),
            "apply": (self.third.state.__class__, "apply_if_newer"),
        }[step]
        function = getattr(owner, name)

        def function_with_fault(*arguments):
            is_other = step == "apply" and arguments[0] is not self.third.state
            if not is_other and self.action is not None:
                self.start_task(self.trigger_fault())
            return function(*arguments)

        monkeypatch.setattr(owner, name, function_with_fault)

    async def trigger_fault(self):
        action, self.action = self.action, None
        if action is not None:
            await action()

    async def clear_store_fault(self):
        await asyncio.sleep(FAULT_S)
        self.fleet.platform.is_down = False
        self.fleet.platform.delay_s = 0.0

    async def inject_down(self):
        self.fleet.platform.is_down = True
        self.start_task(self.clear_store_fault())

    async def inject_slow(self):
        self.fleet.platform.delay_s = 2 * self.first.settings.store.timeout_s
        self.start_task(self.clear_store_fault())

    async def inject_lost(self):
        self.fleet.platform.lose_answers = 1

    async def inject_stale(self):
        self.fleet.platform.stale_reads = 2

    async def inject_killed(self):
        self.start_task(self.fleet.remove(self.first))
        await asyncio.sleep(0)

    async def inject_frozen(self):
        """Block all messages and store calls of the first proxy for FREEZE_S."""
        resumed = asyncio.Event()
        hub, store = self.first.hub, self.first.store
        dispatch, call = hub.dispatch, store.call

        async def dispatch_frozen(*arguments):
            await resumed.wait()
            return await dispatch(*arguments)

        async def call_frozen(*arguments, **options):
            await resumed.wait()
            return await call(*arguments, **options)

        for link in hub.links.values():
            link.handler = dispatch_frozen
        hub.dispatch, store.call = dispatch_frozen, call_frozen
        send = hub.heartbeat.send_heartbeat
        hub.heartbeat.send_heartbeat = lambda name: None

        async def resume():
            await asyncio.sleep(FREEZE_S)
            hub.heartbeat.send_heartbeat = send
            hub.dispatch, store.call = dispatch, call
            for link in hub.links.values():
                link.handler = dispatch
            resumed.set()

        self.start_task(resume())

    async def inject_cut(self):
        """Prevent links between the first proxy and the others for FAULT_S."""
        hub = self.first.hub
        register_link, dial_peer = hub.register_link, hub.dial_peer

        async def fail_to_dial(address):
            raise PeerLostError("cut")

        hub.register_link, hub.dial_peer = (lambda link: False), fail_to_dial
        for link in tuple(hub.links.values()):
            link.close()

        async def restore_links():
            await asyncio.sleep(FAULT_S)
            hub.register_link, hub.dial_peer = register_link, dial_peer

        self.start_task(restore_links())

    async def inject_rival(self):
        outcome = await self.edit_directly(
            self.second, "user = calendar", "user = rival", "rival"
        )
        assert isinstance(outcome, Accepted)


@pytest.fixture
async def bench(fleet):
    for _ in range(3):
        await fleet.add()
    await fleet.wait_until_connected()
    made = Bench(fleet)
    assert isinstance(await made.edit_directly(made.first, "", "", "one"), Accepted)
    await fleet.wait_for_revision(1)
    yield made
    await made.finish()


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("step", STEPS)
async def test_an_edit_survives_each_fault_at_each_step(
    bench, step, fault, monkeypatch
):
    wanted = TEXT.replace("user = booking", "user = mine")
    edit = build_edit("mine", "ada", bench.first.state.stored, wanted)
    bench.arm(step, fault, monkeypatch)
    revision = await bench.edit_until_accepted(edit)
    await bench.fleet.wait_for_revision(revision)
    # The fault is injected in a separate task, which may run after the last step.
    await wait_until(lambda: bench.action is None)
    await bench.finish()
    await wait_until(
        lambda: all(
            plane.state.stored == bench.read_stored() for plane in bench.fleet.planes
        )
    )
    stored = bench.read_stored()
    ids = [record.edit_id for record in stored.history]
    expected = ["mine", "one", "rival"] if fault == "rival" else ["mine", "one"]
    assert sorted(ids) == expected
    assert "user = mine\n" in stored.text
    assert ("user = rival\n" in stored.text) == (fault == "rival")
    for seen in bench.revisions.values():
        assert seen == sorted(set(seen))


@pytest.mark.parametrize("fault", ["none", "down", "slow", "stale", "seed", "cut"])
async def test_a_proxy_joins_under_each_fault(bench, fault):
    fleet = bench.fleet
    if fault == "seed":
        await fleet.remove(bench.second)
    elif fault != "none":
        await getattr(bench, f"inject_{fault}")()
    late = await fleet.add("late")
    await fleet.wait_for_revision(1)
    await fleet.wait_until_connected()
    assert late.state.stored == bench.third.state.stored
    assert late.state.revision == 1


@pytest.mark.parametrize("fault", ["none", "down", "killed", "frozen", "cut"])
async def test_a_proxy_leaves_under_each_fault(bench, fault):
    fleet = bench.fleet
    if fault != "none":
        await getattr(bench, f"inject_{fault}")()
    if fault not in ("killed", "frozen", "cut"):
        await bench.first.hub.announce_leaving()
    elif fault != "killed":
        await bench.finish()
        await fleet.wait_until_connected()
        await bench.first.hub.announce_leaving()
    others = [bench.second, bench.third]
    names = [plane.name for plane in others]
    await wait_until(
        lambda: all(
            [member.name for member in plane.hub.membership.live_members()] == names
            for plane in others
        )
    )
    if fault != "killed":
        await fleet.remove(bench.first)
    await wait_until(
        lambda: all(
            plane.hub.membership.find("proxy-0").state is MemberState.DEAD
            for plane in others
        )
    )
    outcome = await bench.edit_directly(
        bench.second, "user = booking", "user = after", "after"
    )
    assert isinstance(outcome, Accepted)
    await fleet.wait_for_revision(outcome.revision)
