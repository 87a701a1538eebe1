"""Changes of a primary with upstreams that join, leave, restart or go dark meanwhile.

The product's promoter runs against a model of a group, in a loop whose time passes at
once. Before each request that the promoter makes, hypothesis draws what happens in the
group.
"""

import asyncio
import types

import pytest
from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from loguru import logger
from result import Ok

from ebonyrack.core import clock
from ebonyrack.core.address import Address
from ebonyrack.core.position import LogPosition
from ebonyrack.members.entry import MemberEntry
from ebonyrack.members.group import Group
from ebonyrack.members.member import Member
from ebonyrack.placing.commit_safety import CHANGE_LIFETIME_S
from ebonyrack.placing.primary_health import PrimaryHealth
from ebonyrack.pooling.upstream_lost import UpstreamLostError
from ebonyrack.promotion.entry_refresh import EntryRefresh
from ebonyrack.promotion.lease import PromotionLease
from ebonyrack.promotion.order import OrderOutcome
from ebonyrack.promotion.participant import PromotionParticipant
from ebonyrack.promotion.promoter import Promoter
from ebonyrack.promotion.result import PromotionResult
from ebonyrack.requests.reply import RejectionKind
from ebonyrack.requests.reply import Reply
from ebonyrack.requests.reply import UpstreamStatus
from ebonyrack.requests.request import RequestKind
from ebonyrack.routes.route import GroupLimits
from ebonyrack.store.leasing_store import StoreItem

FIRST = ("a", "b", "c")
JOINING = ("d", "e")
NAMES = st.sampled_from(FIRST + JOINING)
REQUEST_S = 0.002
FREEZE_S = 5.0
PLANNED_EVENTS = ("commit", "log", "join", "register", "leave", "restart", "dark")
STALL_EVENTS = ("commit", "log", "join", "restart", "dark")
HISTORY_EVENTS = ("commit", "log", "join", "leave", "sample")
DEPARTURE_EVENTS = ("commit", "log", "join", "leave", "dark")
LOSS_EVENTS = ("join", "register", "restart", "dark")
RETURNING_EVENTS = LOSS_EVENTS + ("return_primary", "commit")
RETURN_EVENTS = ("back", "carry_out", "catch_up")


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time passes at once."""

    def __init__(self):
        super().__init__()
        self.passed_s = 1000.0

    def time(self):
        return self.passed_s

    def _run_once(self):
        timers = [each.when() for each in self._scheduled if not each.cancelled()]
        if not self._ready and timers:
            self.passed_s = max(self.passed_s, min(timers))
        super()._run_once()


class Upstream:
    """An upstream: its role, term, pause and log of (term, offset, commit)."""

    def __init__(self, name):
        self.name = name
        self.leads = name == "a"
        self.term = 1
        self.paused_term = 0
        self.log = [LogPosition(1, 1)]
        self.start = 1
        self.is_dark = False
        self.is_leaving = False
        self.is_registered = True
        self.is_read_late = False

    def report(self):
        return UpstreamStatus(
            self.leads, self.term, self.log[-1], self.paused_term, 0.0, 0, 0
        )


class Model:
    """The group, the orders, and what was acknowledged."""

    def __init__(self, events, registers_at_once=False, history=(), is_sampled=False):
        self.registers_at_once = registers_at_once
        # What happens before the change, and whether the proxy has seen the primary.
        self.history = list(history)
        self.is_sampled = is_sampled
        self.events = list(events)
        self.upstreams = {name: Upstream(name) for name in FIRST}
        self.acknowledged = {LogPosition(1, 1)}
        self.orders = []
        self.promoted = []
        self.lost = []
        self.is_crashed = False
        self.observer = None
        # After so many requests or records the holder stands still past its lease.
        self.requests_until_freeze = None
        self.late_orders = []
        # Probes that the upstreams are too busy to run.
        self.busy_probes = 0

    def count_request(self):
        """Let the holder stand still when it has made so many requests."""
        if not self.requests_until_freeze:
            return
        self.requests_until_freeze -= 1
        if self.requests_until_freeze == 0:
            asyncio.get_running_loop().passed_s += FREEZE_S
            self.let_next_holder_act()

    def let_next_holder_act(self):
        """Let the next holder pause all replicas and order one that holds all."""
        replicas = [each for each in self.upstreams.values() if not each.leads]
        term = max(each.term for each in self.upstreams.values()) + 1
        for each in replicas:
            each.paused_term = term
        best = max(replicas, key=lambda each: (each.log[-1], each.name))
        asyncio.get_running_loop().call_later(0.3, self.promote_next, best.name)

    def promote_next(self, name):
        """Carry out the order of the next holder."""
        self.orders.insert(0, name)
        self.carry_out("")

    def step(self):
        """Let the next drawn events happen."""
        for kind, name in self.events.pop(0) if self.events else ():
            getattr(self, kind)(name)

    def receive(self, name):
        """Send the leader's log to a replica; return whether it counts."""
        leader, replica = self.leader, self.upstreams.get(name)
        if leader is None or replica is None or replica.leads:
            return None
        if leader.name == "a" and self.is_crashed:
            return None
        if replica.paused_term > leader.term or replica.term > leader.term:
            return None
        replica.term, replica.log = leader.term, list(leader.log)
        return leader

    @property
    def leader(self):
        leaders = [each for each in self.upstreams.values() if each.leads]
        return max(leaders, key=lambda each: each.term, default=None)

    def log(self, name):
        """Log a commit at the primary that no replica has received yet."""
        if self.leader is not None:
            offset = self.leader.log[-1].offset + 1
            self.leader.log.append(LogPosition(self.leader.term, offset))

    def commit(self, name):
        """Acknowledge a commit that a replica has received."""
        if name in self.upstreams and not self.upstreams[name].leads:
            self.log(name)
            self.catch_up(name)

    def record_acknowledged(self, positions):
        """Record positions whose commits a proxy has acknowledged to callers."""
        self.acknowledged |= positions
        for name in self.promoted:
            lost = positions - set(self.upstreams[name].log)
            if lost:
                self.lost.append((name, lost))

    def catch_up(self, name):
        leader = self.receive(name)
        if leader is None:
            return
        if self.observer is None:
            self.acknowledged |= set(leader.log)
        else:
            self.observer.acknowledge(leader)

    def join(self, name):
        if name in JOINING and name not in self.upstreams:
            self.upstreams[name] = Upstream(name)
            self.upstreams[name].is_registered = self.registers_at_once

    def register(self, name):
        if name in self.upstreams:
            self.upstreams[name].is_registered = True

    def leave(self, name):
        if name != "a" and len(self.upstreams) > 2 and name in self.upstreams:
            if not self.upstreams[name].leads:
                del self.upstreams[name]

    def restart(self, name):
        if name in self.upstreams and not self.upstreams[name].leads and name != "a":
            self.upstreams[name].paused_term = 0
            self.upstreams[name].start += 1

    def dark(self, name):
        if name != "a" and name in self.upstreams:
            self.upstreams[name].is_dark = True

    def back(self, name):
        if name in self.upstreams:
            self.upstreams[name].is_dark = False

    def step_down(self, name):
        """Let an earlier holder of the lease make the primary a replica."""
        self.upstreams["a"].leads = False

    def pause(self, name):
        """Let an earlier holder of the lease pause a replica, and end."""
        self.upstreams[name].paused_term = self.upstreams[name].term + 1

    def pause_far(self, name):
        """The same by one that counted with later terms."""
        self.upstreams[name].paused_term = self.upstreams[name].term + 3

    def promote_hidden(self, name):
        """Let an earlier holder promote an upstream that goes dark with its replica."""
        self.join("d")
        self.pause("b")
        for each in (self.upstreams[name], self.upstreams["d"]):
            each.term, each.is_dark = 2, True
            each.log = [LogPosition(1, 1), LogPosition(2, 2)]
        self.acknowledged.add(LogPosition(2, 2))

    def leave_for_good(self, name):
        """Let a primary be lost for good, and its entry be removed."""
        del self.upstreams[name]

    def lead_on(self, name):
        """Let a replaced primary that hasn't heard of its successor go on."""
        self.upstreams[name].leads, self.upstreams[name].term = True, 1
        self.upstreams[name].log = [LogPosition(1, 1), LogPosition(1, 2)]

    def skip_reading(self, name):
        """Let the proxy read the entry of an upstream only when its change begins."""
        self.upstreams[name].is_read_late = True

    def lead_next_term(self, name):
        """Let an upstream that has joined lead the next term, with all others."""
        self.join(name)
        for each in self.upstreams.values():
            each.leads = each.name == name
            each.term = 2
            each.log = [LogPosition(1, 1), LogPosition(2, 2)]
        self.acknowledged.add(LogPosition(2, 2))

    def sample(self, name):
        """The proxy learns the position of the primary."""

    def lose_primary(self):
        """Let the primary crash or be cut off."""
        self.upstreams["a"].is_dark = self.is_crashed = True
        self.observer.lose_primary()

    def return_primary(self, name):
        """Let a lost primary come back, or reach its replicas and callers again."""
        self.is_crashed = False
        self.upstreams["a"].is_dark = False

    def carry_out(self, name):
        """Promote the upstream of an order that was accepted or left unanswered."""
        if not self.orders:
            return
        chosen = self.upstreams.get(self.orders.pop(0))
        if chosen is None or chosen is self.leader:
            return
        self.promoted.append(chosen.name)
        lost = self.acknowledged - set(chosen.log)
        if lost:
            self.lost.append((chosen.name, lost))
        term = max(each.term for each in self.upstreams.values()) + 1
        for each in self.upstreams.values():
            each.leads = False
        # Pauses above the new term go on for all others.
        chosen.leads, chosen.term, chosen.paused_term = True, term, 0


class Link:
    """A connection to an upstream of the model."""

    account = ""
    is_idle_in_transaction = False
    outstanding_replies = 0

    def __init__(self, model, name, liveness):
        self.model, self.name = model, name
        self.upstream = model.upstreams[name]
        self.start = self.upstream.start
        self.codec = self
        self.liveness = liveness

    @property
    def is_open(self):
        upstream = self.model.upstreams.get(self.name)
        return upstream is self.upstream and upstream.start == self.start

    @property
    def is_clean(self):
        return self.is_open

    def close(self):
        if not self.is_open:
            self.liveness.record_interruption()
        self.start = -1

    def read_status(self, reply):
        return Ok(reply.rows[0])

    async def exchange(self, requests, timeout_s):
        await asyncio.sleep(REQUEST_S)
        self.model.step()
        if self.upstream.is_dark:
            await asyncio.sleep(timeout_s)
        if self.upstream.is_dark or not self.is_open:
            self.close()
            raise UpstreamLostError("dark")
        replies = [self.run(request) for request in requests]
        self.model.count_request()
        return replies

    async def request_status(self, request, timeout_s):
        (reply,) = await self.exchange([request], timeout_s)
        return self.read_status(reply)

    def run(self, request):
        upstream = self.upstream
        if request.kind is RequestKind.PAUSE and not upstream.leads:
            upstream.paused_term = int(request.argument)
        elif request.kind is RequestKind.RESUME:
            upstream.paused_term = 0
        elif request.kind is RequestKind.STEP_DOWN:
            if upstream.leads and upstream.term < int(request.argument):
                upstream.leads = False
        return Reply(rows=[upstream.report()])

    async def probe_primary(self, timeout_s):
        await asyncio.sleep(REQUEST_S)
        self.model.step()
        if self.upstream.is_dark or not self.is_open:
            self.close()
            raise UpstreamLostError("dark")
        rejection = None if self.upstream.leads else RejectionKind.READ_ONLY
        if self.model.busy_probes > 0:
            self.model.busy_probes -= 1
            rejection = RejectionKind.BUSY
        return Reply(rejection=rejection, position=self.upstream.log[-1]), clock.now_s()


class Observer:
    """A proxy with connections of its own, which acknowledges commits to its callers.

    It has found the primary silent, and reads an entry as soon as there is one.
    """

    def __init__(self, model, is_fenced):
        self.model = model
        self.is_fenced = is_fenced
        self.group = None
        self.tasks = []

    async def connect(self):
        """Connect to the upstreams, long before the primary is lost."""
        self.group = build_group(self.is_fenced)
        await self.read_entries()
        self.group.primary_tracker.confirm("a", 1)
        for member in self.group.members.values():
            await member.pool.warm_up(1)
        await asyncio.sleep(CHANGE_LIFETIME_S + 1.0)

    def lose_primary(self):
        """Find the primary silent."""
        self.group.members["a"].liveness.record_refusal()

    async def read_entries(self):
        await apply_entries(self.model, self.group)

    def acknowledge(self, leader):
        """Acknowledge the commits of an upstream that counts them, if they are safe."""
        task = self.confirm(leader.name, leader.log[-1], set(leader.log))
        self.tasks.append(asyncio.create_task(task))

    async def confirm(self, name, position, positions):
        await self.read_entries()
        member = self.group.members.get(name)
        if member is None:
            return
        member.liveness.record_reply()
        if await self.group.commit_check.confirm(member, position, 1.0) is None:
            self.model.record_acknowledged(positions)


def build_group(is_fenced):
    return Group(GroupLimits("bookings", 9, 1), "bangkok", None, 1, is_fenced)


async def apply_entries(model, group):
    """Apply the entries in the store to a proxy's group."""
    for upstream in list(model.upstreams.values()):
        if upstream.is_registered and upstream.name not in group.members:
            await group.apply_entry(build_entry(upstream))
    for name in set(group.members) - set(model.upstreams):
        await group.remove(name, "its entry is missing")


async def apply_history(model, group):
    """Let drawn events happen while the primary serves, each seen by the proxy."""
    for kind, name in model.history:
        getattr(model, kind)(name)
        await asyncio.sleep(REQUEST_S)
        await apply_entries(model, group)
        if kind == "sample":
            position = model.upstreams["a"].log[-1]
            group.record_primary_reply(
                group.members["a"], clock.boot_time_s(), position
            )


class Platform:
    """The store's record of orders, and the platform that takes orders."""

    generation = 1
    generation_seen_s = 0.0

    def __init__(self, model, answers):
        self.model = model
        self.answers = list(answers)
        self.items = {}

    async def read_key(self, key):
        return Ok(self.items.get(key))

    async def write(self, write):
        self.items[write.key] = StoreItem(write.key, write.value, 1, 1)
        self.model.count_request()
        return Ok(1)

    async def delete(self, key, revision):
        self.items.pop(key, None)
        return Ok(True)

    async def promote(self, order):
        if self.model.requests_until_freeze == 0:
            self.model.late_orders.append(order.member_id)
        await asyncio.sleep(REQUEST_S)
        self.model.step()
        is_answered = self.answers.pop(0) if self.answers else True
        self.model.orders.append(order.member_id)
        asyncio.get_running_loop().call_later(0.6, self.model.carry_out, "")
        return Ok(OrderOutcome.ACCEPTED if is_answered else OrderOutcome.UNANSWERED)


async def change_primary(model, health, answers, is_fenced):
    """Run one attempt of the product's promoter against the model."""
    group = build_group(is_fenced)
    platform = Platform(model, answers)

    async def read_entries():
        await asyncio.sleep(REQUEST_S)
        await apply_entries(model, group)

    async def open_link(member, timeout_s, account=""):
        await asyncio.sleep(REQUEST_S)
        upstream = model.upstreams.get(member.member_id)
        if upstream is None or upstream.is_dark:
            raise UpstreamLostError("dark")
        return Link(model, member.member_id, member.liveness)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Member, "open_link", open_link)
        patch.setattr(
            PromotionParticipant,
            "connect",
            lambda self, wait_s=0: self.connect_directly(wait_s),
        )
        if model.observer is not None:
            await model.observer.connect()
            model.lose_primary()
        await read_entries()
        group.primary_tracker.confirm("a", 1)
        if model.is_sampled:
            position = model.upstreams["a"].log[-1]
            group.record_primary_reply(
                group.members["a"], clock.boot_time_s(), position
            )
        await apply_history(model, group)
        for upstream in model.upstreams.values():
            upstream.is_registered |= upstream.is_read_late
        promoter = Promoter(group, platform, platform, "proxy-1", read_entries)
        lease = PromotionLease("bookings", 7, clock.boot_time_s() + 3.2, platform, 1)
        async with EntryRefresh(read_entries, health.is_lost) as refresh:
            result = await promoter.change_primary(lease, health, refresh)
        await asyncio.sleep(8.0)
        if model.observer is not None:
            await asyncio.gather(*model.observer.tasks)
    return result


def build_entry(upstream):
    return MemberEntry(
        upstream.name,
        "bookings",
        Address("127.0.0.1", 1),
        "bangkok",
        3,
        upstream.is_leaving,
        upstream.leads,
        1,
        1,
    )


def play(model, health, answers, is_fenced):
    """Play a change; return its result."""
    loop = VirtualLoop()
    logger.disable("ebonyrack")
    with pytest.MonkeyPatch.context() as patch:
        fake = types.SimpleNamespace(
            monotonic=loop.time, clock_gettime=lambda _: loop.time(), CLOCK_BOOTTIME=7
        )
        patch.setattr(clock, "time", fake)
        try:
            return loop.run_until_complete(
                change_primary(model, health, answers, is_fenced)
            )
        finally:
            loop.close()
            logger.enable("ebonyrack")


def draw_steps(kinds):
    event = st.tuples(st.sampled_from(kinds + RETURN_EVENTS), NAMES)
    return st.lists(st.lists(event, max_size=3), max_size=30)


ANSWERS = st.lists(st.booleans(), max_size=3)


@pytest.mark.parametrize("is_fenced", [True, False], ids=["fenced", "unfenced"])
@given(steps=draw_steps(PLANNED_EVENTS), answers=ANSWERS)
@settings(max_examples=300)
def test_planned_change_loses_no_commit(is_fenced, steps, answers):
    model = Model(steps)
    model.upstreams["a"].is_leaving = True
    play(model, PrimaryHealth.LEAVING, answers, is_fenced)
    assert model.lost == []


@pytest.mark.parametrize("is_fenced", [True, False], ids=["fenced", "unfenced"])
@given(steps=draw_steps(LOSS_EVENTS), answers=ANSWERS)
@settings(max_examples=300)
def test_change_after_a_loss_loses_no_commit(is_fenced, steps, answers):
    model = Model([[("commit", "b"), ("commit", "c")], *steps])
    model.step()
    model.upstreams["a"].is_dark = model.is_crashed = True
    play(model, PrimaryHealth.REFUSING, answers, is_fenced)
    assert model.lost == []


@pytest.mark.parametrize("is_fenced", [True, False], ids=["fenced", "unfenced"])
@given(steps=draw_steps(RETURNING_EVENTS), answers=ANSWERS)
@example(steps=[[("join", "e"), ("return_primary", "a"), ("commit", "e")]], answers=[])
@settings(max_examples=300)
def test_primary_that_returns_during_its_change_loses_no_commit(
    is_fenced, steps, answers
):
    model = Model(steps)
    model.observer = Observer(model, is_fenced)
    play(model, PrimaryHealth.REFUSING, answers, is_fenced)
    assert model.lost == []


@pytest.mark.parametrize("is_fenced", [True, False], ids=["fenced", "unfenced"])
@given(steps=draw_steps(STALL_EVENTS), answers=ANSWERS)
@example(steps=[[], [], [], [], [("restart", "b"), ("commit", "b")]], answers=[])
@settings(max_examples=300)
def test_change_of_a_stalled_primary_loses_no_commit(is_fenced, steps, answers):
    model = Model(steps, registers_at_once=True)
    play(model, PrimaryHealth.STALLED, answers, is_fenced)
    assert model.lost == []


HISTORY = st.lists(st.tuples(st.sampled_from(HISTORY_EVENTS), NAMES), max_size=8)


@pytest.mark.parametrize("is_fenced", [True, False], ids=["fenced", "unfenced"])
@given(
    history=HISTORY,
    is_sampled=st.booleans(),
    steps=draw_steps(DEPARTURE_EVENTS),
    answers=ANSWERS,
)
@example(
    history=[("commit", "b"), ("leave", "b")], is_sampled=True, steps=[], answers=[]
)
@example(
    history=[("commit", "b"), ("leave", "b")], is_sampled=False, steps=[], answers=[]
)
@example(
    history=[], is_sampled=True, steps=[[("commit", "b"), ("leave", "b")]], answers=[]
)
@settings(max_examples=300)
def test_primary_that_replies_is_replaced_by_none_that_lacks_commits_of_departed(
    is_fenced, history, is_sampled, steps, answers
):
    # A replica acknowledged commits and left; the others received none of them.
    model = Model(steps, True, history, is_sampled)
    play(model, PrimaryHealth.STALLED, answers, is_fenced)
    assert model.lost == []


LOST_HEALTH = st.sampled_from([each for each in PrimaryHealth if each.is_lost])


@pytest.mark.parametrize("is_fenced", [True, False], ids=["fenced", "unfenced"])
@given(
    health=LOST_HEALTH,
    history=HISTORY,
    steps=draw_steps(DEPARTURE_EVENTS),
    answers=ANSWERS,
)
@settings(max_examples=300)
def test_primary_that_an_earlier_holder_made_a_replica_is_compared(
    is_fenced, health, history, steps, answers
):
    # That holder ended before its order, and this proxy takes it for the primary still.
    model = Model(steps, True, [*history, ("step_down", "a")], True)
    play(model, health, answers, is_fenced)
    assert model.lost == []


@pytest.mark.parametrize("is_fenced", [True, False], ids=["fenced", "unfenced"])
@pytest.mark.parametrize("health", [PrimaryHealth.STALLED, PrimaryHealth.SILENT])
def test_primary_that_an_earlier_holder_made_a_replica_may_lead_again(
    is_fenced, health
):
    # Nobody else has its commits, and this proxy takes it for the primary still.
    history = [("commit", "b"), ("leave", "b"), ("step_down", "a")]
    model = Model([], True, history, True)
    play(model, health, [], is_fenced)
    assert model.promoted == ["a"]


@pytest.mark.parametrize("is_fenced", [True, False], ids=["fenced", "unfenced"])
@pytest.mark.parametrize("health", [PrimaryHealth.UNKNOWN, PrimaryHealth.SILENT])
def test_primary_that_becomes_known_during_a_change_is_not_replaced(is_fenced, health):
    # A proxy that the store turned away reads the entry of the successor late.
    model = Model([], history=[("lead_next_term", "d"), ("skip_reading", "d")])
    result = play(model, health, [], is_fenced)
    assert result is PromotionResult.NOT_NEEDED
    assert model.promoted == []
    assert not any(each.paused_term for each in model.upstreams.values())


@pytest.mark.parametrize("is_fenced", [True, False], ids=["fenced", "unfenced"])
@pytest.mark.parametrize("pause", ["pause", "pause_far"])
@pytest.mark.parametrize("is_sampled", [True, False])
def test_change_of_a_primary_that_pauses_stall_leaves_none_that_stalls_the_next(
    is_fenced, pause, is_sampled
):
    # Holders replaced healthy primaries in turn, each with higher pauses.
    history = [("commit", "b"), (pause, "b"), (pause, "c"), ("log", "a")]
    model = Model([], history=history, is_sampled=is_sampled)
    result = play(model, PrimaryHealth.STALLED, [], is_fenced)
    assert result is PromotionResult.PROMOTED
    assert len(model.promoted) == 1
    for each in model.upstreams.values():
        assert each.paused_term <= model.leader.term
    assert model.lost == []


@pytest.mark.parametrize("health", [PrimaryHealth.LEAVING, PrimaryHealth.STALLED])
def test_pause_of_an_earlier_holder_may_hide_a_newer_primary(health):
    # Replaced primaries go on where promotions are not fenced. The newer one and its
    # replica can't be reached, the replica that is left stands where the old one does.
    model = Model([], registers_at_once=True, history=[("promote_hidden", "c")])
    play(model, health, [], is_fenced=False)
    assert model.lost == []
    assert model.promoted == []


@pytest.mark.parametrize("is_fenced", [True, False], ids=["fenced", "unfenced"])
@pytest.mark.parametrize("health", [PrimaryHealth.LEAVING, PrimaryHealth.STALLED])
@given(requests=st.integers(1, 25), steps=draw_steps(("commit", "log")))
@settings(max_examples=200)
def test_holder_that_stood_still_past_its_lease_orders_nothing(
    is_fenced, health, requests, steps
):
    # The next holder has paused all replicas and ordered one of them meanwhile.
    model = Model(steps, registers_at_once=True, is_sampled=True)
    model.upstreams["a"].is_leaving = health is PrimaryHealth.LEAVING
    model.requests_until_freeze = requests
    play(model, health, [], is_fenced)
    assert model.late_orders == []


@pytest.mark.parametrize("is_fenced", [True, False], ids=["fenced", "unfenced"])
@pytest.mark.parametrize("health", [PrimaryHealth.UNKNOWN, PrimaryHealth.SILENT])
def test_primary_that_is_too_busy_for_a_probe_is_not_ordered(is_fenced, health):
    # It was the replica with the longest log, and all others were paused for it.
    model = Model([], history=[("lead_next_term", "d")], registers_at_once=True)
    model.busy_probes = 6
    result = play(model, health, [], is_fenced)
    assert result is PromotionResult.NOT_NEEDED
    assert model.orders == []
    assert not any(each.paused_term for each in model.upstreams.values())


def test_replaced_primary_that_goes_on_holds_up_no_promotion():
    # It can't be paused like a replica, and its commits would count with one.
    history = [("lead_next_term", "d"), ("commit", "b"), ("leave_for_good", "d")]
    model = Model([], history=[*history, ("lead_on", "a")], registers_at_once=True)
    result = play(model, PrimaryHealth.UNKNOWN, [], is_fenced=False)
    assert result is PromotionResult.PROMOTED
    assert model.promoted == ["b"]
    assert not model.upstreams["a"].leads
    assert model.lost == []
