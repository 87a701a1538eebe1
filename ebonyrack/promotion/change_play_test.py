"""Plays an attempt of the product's promoter against the model of a group.

The loop's time passes at once. Before each request that the promoter makes, the next
events happen in the group.
"""

import asyncio
import types

import pytest
from hypothesis import strategies as st
from loguru import logger
from result import Ok

from ebonyrack.core import clock
from ebonyrack.core.address import Address
from ebonyrack.members.entry import MemberEntry
from ebonyrack.members.group import Group
from ebonyrack.members.member import Member
from ebonyrack.placing.commit_safety import CHANGE_LIFETIME_S
from ebonyrack.pooling.upstream_lost import UpstreamLostError
from ebonyrack.promotion.entry_refresh import EntryRefresh
from ebonyrack.promotion.group_model_test import FIRST
from ebonyrack.promotion.group_model_test import JOINING
from ebonyrack.promotion.group_model_test import VirtualLoop
from ebonyrack.promotion.lease import PromotionLease
from ebonyrack.promotion.open_order import PREFIX
from ebonyrack.promotion.order import OrderOutcome
from ebonyrack.promotion.participant import PromotionParticipant
from ebonyrack.promotion.promoter import Promoter
from ebonyrack.requests.reply import RejectionKind
from ebonyrack.requests.reply import Reply
from ebonyrack.requests.request import RequestKind
from ebonyrack.routes.route import GroupLimits
from ebonyrack.store.leasing_store import StoreItem

REQUEST_S = 0.002
NAMES = st.sampled_from(FIRST + JOINING)
RETURN_EVENTS = ("back", "carry_out", "catch_up")
HISTORY_EVENTS = ("commit", "log", "join", "leave", "sample")
DEPARTURE_EVENTS = ("commit", "log", "join", "leave", "dark")


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
    if model.open_order is not None:
        value = f"{model.open_order} 3".encode()
        platform.items[f"{PREFIX}bookings"] = StoreItem("order", value, 1, 1)

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
HISTORY = st.lists(st.tuples(st.sampled_from(HISTORY_EVENTS), NAMES), max_size=8)
