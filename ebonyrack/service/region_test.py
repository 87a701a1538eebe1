"""Loss of a whole data centre, and a cut between two regions."""

import asyncio
from collections import Counter
from itertools import combinations
from itertools import cycle

import psycopg
import pytest

from ebonyrack.config.edit import Accepted
from ebonyrack.config.edit import build_edit
from ebonyrack.config.edit_attempt import EditAttempt
from ebonyrack.core.clock import now_s
from ebonyrack.core.component import Component
from ebonyrack.core.tasks import end_tasks
from ebonyrack.failover.bench_test import Bench
from ebonyrack.peers.member import MemberState
from ebonyrack.service.proxy_test import BOOK
from ebonyrack.service.proxy_test import connect
from ebonyrack.service.proxy_test import count
from ebonyrack.standins.control_plane import wait_until
from ebonyrack.standins.network import DIALLER
from ebonyrack.standins.network import Network
from ebonyrack.standins.system import GROUP
from ebonyrack.standins.system import System

ATTEMPT_LIMIT_S = 4.0
RECEIVE_DELAY_S = 0.02
PLATFORM = "platform"
OPERATORS = "[operator ada]\nacts_for = administrators\n"
DATA_CENTRES = ("bangkok-1", "bangkok-2", "bangkok-3")


class Caller:
    """Books one request after another under a key each, and reads each back.

    One that insists repeats a request through the next proxy until it is
    acknowledged; one that doesn't leaves it at the first answer.
    """

    def __init__(self, system, name, proxy_names, insists):
        self.system = system
        self.name = name
        self.names = cycle(proxy_names)
        self.insists = insists
        self.outcomes = {}

    async def run(self):
        """Book for ever."""
        while True:
            request = f"r-{self.name}-{len(self.outcomes)}"
            self.outcomes[request] = "unknown"
            self.outcomes[request] = await self.book(request)
            if self.outcomes[request] == "yes":
                await self.read_back(request)

    async def book(self, request):
        """Return whether a request took effect, as the caller was told."""
        outcome = await self.attempt(request)
        while self.insists and outcome != "yes":
            await asyncio.sleep(0.02)
            outcome = await self.attempt(request)
        return outcome

    async def attempt(self, request):
        outcome = "no"
        try:
            async with asyncio.timeout(ATTEMPT_LIMIT_S), self.connect() as connection:
                outcome = "unknown"
                await connection.execute(
                    f"SET ebonyrack.idempotency_key = 'key-{request}'"
                )
                await connection.execute(BOOK, (1, "Mali", request))
                return "yes"
        except (psycopg.Error, TimeoutError, KeyError) as error:
            detail = getattr(getattr(error, "diag", None), "message_detail", None) or ""
            words = dict(word.split("=", 1) for word in detail.split() if "=" in word)
            await asyncio.sleep(0.01)
            return words.get("ran", outcome)

    def connect(self):
        """Connect to the next proxy; one that was lost raises KeyError."""
        return connect(self.system.proxies[next(self.names)])

    async def read_back(self, request):
        """Read an acknowledged booking through the next proxy that answers."""
        for _ in range(100 if self.insists else 1):
            try:
                async with asyncio.timeout(ATTEMPT_LIMIT_S), self.connect() as reader:
                    assert await count(reader, request) == 1, request
                    return
            except (psycopg.Error, TimeoutError, KeyError):
                await asyncio.sleep(0.02)
        assert not self.insists, f"{request} could not be read"

    def count_acknowledged(self):
        return list(self.outcomes.values()).count("yes")


class Places(Component):
    """Proxy and upstream of each number in a place, and callers of the proxies."""

    def __init__(self, places, store_place=PLATFORM, **overrides):
        self.places = places
        self.store_place = store_place
        waits = {"confirm_wait_s": 1.0, "queue_wait_s": 1.0, "answer_wait_s": 2.0}
        self.system = System(
            proxies=0,
            cut_off_after_s=2.5,
            operators=OPERATORS,
            data_centres=places[:3],
            **waits | overrides,
        )
        self.group = self.system.group
        self.network = Network()
        self.callers = []
        self.tasks = []
        self.revisions = {}

    async def start(self):
        await self.network.start()
        await self.system.start()
        self.group.set_lag(0.0, receive_delay_s=RECEIVE_DELAY_S)
        ports = self.network.places
        ports[self.system.platform.address.port] = self.store_place
        for upstream, place in zip(
            self.group.upstreams.values(), self.places, strict=False
        ):
            ports[upstream.address.port] = place
        for number in range(1, len(self.places) + 1):
            await self.start_proxy(number)
        await wait_until(self.is_whole)

    async def stop(self):
        await end_tasks(self.tasks)
        self.cut()
        await self.system.stop()
        await self.network.stop()

    async def start_proxy(self, number):
        name, place = f"proxy-{number}", self.places[number - 1]
        token = DIALLER.set(place)
        proxy = await self.system.start_proxy(name, place)
        DIALLER.reset(token)
        self.network.places[proxy.hub.address.port] = place
        seen = self.revisions.setdefault(proxy, [])
        proxy.configuration.subscribe(lambda document: seen.append(document.revision))

    def add_caller(self, *proxy_names, insists=True):
        name = f"{len(self.callers)}"
        caller = Caller(self.system, name, proxy_names, insists)
        self.callers.append(caller)
        self.tasks.append(asyncio.create_task(caller.run()))
        return caller

    async def progress(self, *callers, by=4):
        """Wait until callers have more writes acknowledged, and read back."""
        wanted = {caller: caller.count_acknowledged() + by for caller in callers}

        def has_progressed():
            for task in self.tasks:
                assert not task.done(), task.result()
            return all(item.count_acknowledged() >= wanted[item] for item in wanted)

        await wait_until(has_progressed)

    def cut(self, place=None):
        """Cut all links between a place and the others; heal those that were cut."""
        others = {*self.places, self.store_place} - {place}
        self.network.set_cuts(*((place, other) for other in others if place))
        self.group.heal()
        for one, other in combinations(range(3), 2):
            if (self.places[one] == place) != (self.places[other] == place):
                self.group.cut(f"up-{one + 1}", f"up-{other + 1}")

    def is_whole(self):
        """Tell whether each proxy knows all proxies and both replicas."""
        proxies = self.system.proxies.values()
        return all(
            len(proxy.hub.membership.live_members()) == len(self.places)
            and not proxy.watch.is_cut_off
            and proxy.services.groups[GROUP].primary() is not None
            and len(proxy.services.groups[GROUP].replicas()) == 2
            for proxy in proxies
        )

    async def wait_dead(self, lost, seen_by):
        """Wait until proxies hold others for dead."""
        await wait_until(
            lambda: all(
                self.system.proxies[name].hub.membership.find(other).state
                is MemberState.DEAD
                for name in seen_by
                for other in lost
            )
        )

    async def check(self):
        """End all faults and compare the logs with what the callers were told."""
        await end_tasks(self.tasks)
        await wait_until(self.is_whole)
        bench = Bench(self.group, {})
        await bench.settle()
        bench.check_terms()
        booked = Counter(
            value
            for entry in self.group.primary().log.entries
            for statement in entry.statements
            if "bookings" in statement.sql
            for value in statement.values
            if isinstance(value, str) and value.startswith("r-")
        )
        assert booked
        assert max(booked.values()) == 1, "a booking is doubled"
        for caller in self.callers:
            for request, outcome in caller.outcomes.items():
                assert outcome != "yes" or request in booked, f"{request} is lost"
                assert outcome != "no" or request not in booked, f"{request} ran"
        for seen in self.revisions.values():
            assert seen == sorted(set(seen)), "a revision was put back"


@pytest.mark.parametrize(
    ("number", "fault", "is_store_down"),
    [(1, "kill", False), (3, "kill", False), (1, "kill", True), (1, "freeze", False)],
)
async def test_a_lost_data_centre_costs_no_booking(number, fault, is_store_down):
    async with Places(DATA_CENTRES) as places:
        system, group = places.system, places.group
        proxy, upstream = f"proxy-{number}", f"up-{number}"
        others = [name for name in system.proxies if name != proxy]
        roaming = [places.add_caller(*system.proxies) for _ in range(2)]
        staying = places.add_caller(*others)
        await places.progress(*roaming, staying)
        system.platform.is_down = is_store_down
        if fault == "kill":
            await asyncio.gather(group.kill(upstream), system.kill_proxy(proxy))
        else:
            group.freeze(upstream)
            places.cut(DATA_CENTRES[number - 1])
        await places.progress(*roaming, staying)
        await places.wait_dead([proxy], others)
        await places.progress(*roaming, staying)
        assert group.primary().name != upstream
        if fault == "kill":
            await group.restart(upstream)
            await places.start_proxy(number)
        else:
            group.thaw(upstream)
            places.cut()
        await wait_until(places.is_whole)
        await places.progress(*roaming, staying, places.add_caller(proxy))
        system.platform.is_down = False
        await places.check()


async def edit_queue_limit(proxy, queue_limit):
    """Get an edit accepted by way of a proxy."""
    base = proxy.configuration.stored
    wanted = base.text.replace("queue_limit = 200", f"queue_limit = {queue_limit}")
    edit = build_edit("one", "ada", base, wanted)
    attempt = EditAttempt(proxy.store, proxy.configuration, edit, now_s() + 10)
    outcome = await attempt.run()
    assert isinstance(outcome, Accepted), outcome
    return outcome.revision


@pytest.mark.parametrize(
    "regions",
    [
        ("east", "east", "west"),
        ("west", "east", "east"),
        ("west", "east", "east", "west"),
    ],
    ids=["replica_cut", "primary_cut", "primary_cut_with_two_proxies"],
)
async def test_the_lesser_region_of_a_cut_acknowledges_nothing(regions):
    async with Places(regions, store_place="east") as places:
        proxies = places.system.proxies
        names = dict(zip(proxies, regions, strict=True))
        east = [name for name, region in names.items() if region == "east"]
        west = [name for name, region in names.items() if region == "west"]
        greater = places.add_caller(*east)
        lesser = [places.add_caller(name, insists=False) for name in west]
        await places.progress(greater, *lesser)
        places.cut("west")
        await places.wait_dead(west, east)
        await places.wait_dead(east, west)
        # What was acknowledged in the west left before the cut.
        before = [caller.count_acknowledged() for caller in lesser]
        revision = await edit_queue_limit(proxies[east[0]], 77)
        await wait_until(
            lambda: all(proxies[n].configuration.revision == revision for n in east)
        )
        await places.progress(greater, by=10)
        # Proxies that hear each other are not cut off, but have no quorum.
        await wait_until(lambda: len(west) > 1 or proxies[west[0]].watch.is_cut_off)
        log = places.group[f"up-{regions.index('west') + 1}"].log
        entries = len(log.entries)
        for name in west:
            async with connect(proxies[name]) as reader:
                with pytest.raises(psycopg.Error) as raised:
                    await count(reader, "r-0-0")
                assert "ran=no kind=" in raised.value.diag.message_detail
        tried = [len(caller.outcomes) for caller in lesser]
        await wait_until(
            lambda: all(
                len(caller.outcomes) > number + 2
                for caller, number in zip(lesser, tried, strict=True)
            )
        )
        assert len(log.entries) == entries, "new work reached the cut-off upstream"
        assert all(proxies[name].configuration.revision < revision for name in west)
        assert [caller.count_acknowledged() for caller in lesser] == before
        places.cut()
        await wait_until(places.is_whole)
        await wait_until(
            lambda: all(proxies[n].configuration.revision == revision for n in west)
        )
        await places.progress(greater, *lesser)
        await places.check()
