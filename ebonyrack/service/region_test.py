"""Loss of a whole data centre, and a network partition between two regions."""

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
from ebonyrack.standins.network import DIALLING_SITE
from ebonyrack.standins.network import Network
from ebonyrack.standins.system import GROUP
from ebonyrack.standins.system import System

ATTEMPT_LIMIT_S = 4.0
RECEIVE_DELAY_S = 0.02
PLATFORM = "platform"
OPERATORS = "[operator ada]\nacts_for = administrators\n"
DATA_CENTRES = ("bangkok-1", "bangkok-2", "bangkok-3")


class Caller:
    """Makes one booking after another, each under its own key, and reads it back.

    If `retries` is true, a booking is repeated through the next proxy until it is
    acknowledged; otherwise the first outcome is final.
    """

    def __init__(self, system, name, proxy_names, retries):
        self.system = system
        self.name = name
        self.names = cycle(proxy_names)
        self.retries = retries
        self.outcomes = {}

    async def run(self):
        """Make bookings until cancelled."""
        while True:
            request = f"r-{self.name}-{len(self.outcomes)}"
            self.outcomes[request] = "unknown"
            self.outcomes[request] = await self.book(request)
            if self.outcomes[request] == "yes":
                await self.read_back(request)

    async def book(self, request):
        """Make one booking; return the outcome that was reported to the caller."""
        outcome = await self.attempt(request)
        while self.retries and outcome != "yes":
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
            fields = dict(word.split("=", 1) for word in detail.split() if "=" in word)
            await asyncio.sleep(0.01)
            return fields.get("ran", outcome)

    def connect(self):
        """Connect to the next proxy; raises KeyError if it is not running."""
        return connect(self.system.proxies[next(self.names)])

    async def read_back(self, request):
        """Read an acknowledged booking through the next proxy that answers."""
        for _ in range(100 if self.retries else 1):
            try:
                async with asyncio.timeout(ATTEMPT_LIMIT_S), self.connect() as reader:
                    assert await count(reader, request) == 1, request
                    return
            except (psycopg.Error, TimeoutError, KeyError):
                await asyncio.sleep(0.02)
        assert not self.retries, f"{request} could not be read"

    def count_acknowledged(self):
        return list(self.outcomes.values()).count("yes")


class MultiSiteDeployment(Component):
    """A system whose proxies and upstreams are spread over sites, and its callers."""

    def __init__(self, sites, store_site=PLATFORM, **overrides):
        self.sites = sites
        self.store_site = store_site
        waits = {"confirm_wait_s": 1.0, "queue_wait_s": 1.0, "answer_wait_s": 2.0}
        self.system = System(
            proxies=0,
            cut_off_after_s=2.5,
            operators=OPERATORS,
            data_centres=sites[:3],
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
        ports = self.network.site_by_port
        ports[self.system.platform.address.port] = self.store_site
        for upstream, site in zip(
            self.group.upstreams.values(), self.sites, strict=False
        ):
            ports[upstream.address.port] = site
        for number in range(1, len(self.sites) + 1):
            await self.start_proxy(number)
        await wait_until(self.is_fully_connected)

    async def stop(self):
        await end_tasks(self.tasks)
        self.cut()
        await self.system.stop()
        await self.network.stop()

    async def start_proxy(self, number):
        name, site = f"proxy-{number}", self.sites[number - 1]
        token = DIALLING_SITE.set(site)
        proxy = await self.system.start_proxy(name, site)
        DIALLING_SITE.reset(token)
        self.network.site_by_port[proxy.hub.address.port] = site
        seen = self.revisions.setdefault(proxy, [])
        proxy.configuration.subscribe(lambda document: seen.append(document.revision))

    def add_caller(self, *proxy_names, retries=True):
        name = f"{len(self.callers)}"
        caller = Caller(self.system, name, proxy_names, retries)
        self.callers.append(caller)
        self.tasks.append(asyncio.create_task(caller.run()))
        return caller

    async def wait_for_writes(self, *callers, by=4):
        """Wait until callers have further writes acknowledged."""
        wanted = {caller: caller.count_acknowledged() + by for caller in callers}

        def has_progressed():
            for task in self.tasks:
                assert not task.done(), task.result()
            return all(item.count_acknowledged() >= wanted[item] for item in wanted)

        await wait_until(has_progressed)

    def cut(self, site=None):
        """Heal all links, then cut those between a site, if given, and the others."""
        others = {*self.sites, self.store_site} - {site}
        self.network.set_cuts(*((site, other) for other in others if site))
        self.group.heal()
        for one, other in combinations(range(3), 2):
            if (self.sites[one] == site) != (self.sites[other] == site):
                self.group.cut(f"up-{one + 1}", f"up-{other + 1}")

    def is_fully_connected(self):
        """Return whether each proxy sees all proxies, a primary and both replicas."""
        proxies = self.system.proxies.values()
        return all(
            len(proxy.hub.membership.live_members()) == len(self.sites)
            and not proxy.watch.is_cut_off
            and proxy.services.groups[GROUP].primary() is not None
            and len(proxy.services.groups[GROUP].replicas()) == 2
            for proxy in proxies
        )

    async def wait_until_dead(self, lost, seen_by):
        """Wait until proxies consider others dead."""
        await wait_until(
            lambda: all(
                self.system.proxies[name].hub.membership.find(other).state
                is MemberState.DEAD
                for name in seen_by
                for other in lost
            )
        )

    async def check(self):
        """End all faults and compare the log with the reported outcomes."""
        await end_tasks(self.tasks)
        await wait_until(self.is_fully_connected)
        bench = Bench(self.group, {})
        await bench.wait_until_converged()
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
        assert max(booked.values()) == 1, "a booking was written twice"
        for caller in self.callers:
            for request, outcome in caller.outcomes.items():
                assert outcome != "yes" or request in booked, f"{request} is lost"
                assert outcome != "no" or request not in booked, (
                    f"{request} ran although reported as not run"
                )
        for seen in self.revisions.values():
            assert seen == sorted(set(seen)), "a lower revision replaced a higher one"


@pytest.mark.parametrize(
    ("number", "fault", "is_store_down"),
    [(1, "kill", False), (3, "kill", False), (1, "kill", True), (1, "freeze", False)],
)
async def test_loss_of_a_data_centre_loses_no_booking(number, fault, is_store_down):
    async with MultiSiteDeployment(DATA_CENTRES) as deployment:
        system, group = deployment.system, deployment.group
        proxy, upstream = f"proxy-{number}", f"up-{number}"
        others = [name for name in system.proxies if name != proxy]
        roaming = [deployment.add_caller(*system.proxies) for _ in range(2)]
        staying = deployment.add_caller(*others)
        await deployment.wait_for_writes(*roaming, staying)
        system.platform.is_down = is_store_down
        if fault == "kill":
            await asyncio.gather(group.kill(upstream), system.kill_proxy(proxy))
        else:
            group.freeze(upstream)
            deployment.cut(DATA_CENTRES[number - 1])
        await deployment.wait_for_writes(*roaming, staying)
        await deployment.wait_until_dead([proxy], others)
        await deployment.wait_for_writes(*roaming, staying)
        assert group.primary().name != upstream
        if fault == "kill":
            await group.restart(upstream)
            await deployment.start_proxy(number)
        else:
            group.resume(upstream)
            deployment.cut()
        await wait_until(deployment.is_fully_connected)
        await deployment.wait_for_writes(
            *roaming, staying, deployment.add_caller(proxy)
        )
        system.platform.is_down = False
        await deployment.check()


async def edit_queue_limit(proxy, queue_limit):
    """Change the queue limit through a proxy; return the new revision."""
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
async def test_minority_region_of_a_partition_acknowledges_nothing(regions):
    async with MultiSiteDeployment(regions, store_site="east") as deployment:
        proxies = deployment.system.proxies
        names = dict(zip(proxies, regions, strict=True))
        east = [name for name, region in names.items() if region == "east"]
        west = [name for name, region in names.items() if region == "west"]
        majority_caller = deployment.add_caller(*east)
        minority_callers = [deployment.add_caller(name, retries=False) for name in west]
        await deployment.wait_for_writes(majority_caller, *minority_callers)
        deployment.cut("west")
        await deployment.wait_until_dead(west, east)
        await deployment.wait_until_dead(east, west)
        # Writes acknowledged in the west until now were sent before the cut.
        before = [caller.count_acknowledged() for caller in minority_callers]
        revision = await edit_queue_limit(proxies[east[0]], 77)
        await wait_until(
            lambda: all(proxies[n].configuration.revision == revision for n in east)
        )
        await deployment.wait_for_writes(majority_caller, by=10)
        # Two proxies that reach each other are not cut off, but have no quorum.
        await wait_until(lambda: len(west) > 1 or proxies[west[0]].watch.is_cut_off)
        log = deployment.group[f"up-{regions.index('west') + 1}"].log
        entries = len(log.entries)
        for name in west:
            async with connect(proxies[name]) as reader:
                with pytest.raises(psycopg.Error) as raised:
                    await count(reader, "r-0-0")
                assert "ran=no kind=" in raised.value.diag.message_detail
        attempted = [len(caller.outcomes) for caller in minority_callers]
        await wait_until(
            lambda: all(
                len(caller.outcomes) > number + 2
                for caller, number in zip(minority_callers, attempted, strict=True)
            )
        )
        assert len(log.entries) == entries, "new work reached the cut-off upstream"
        assert all(proxies[name].configuration.revision < revision for name in west)
        assert [caller.count_acknowledged() for caller in minority_callers] == before
        deployment.cut()
        await wait_until(deployment.is_fully_connected)
        await wait_until(
            lambda: all(proxies[n].configuration.revision == revision for n in west)
        )
        await deployment.wait_for_writes(majority_caller, *minority_callers)
        await deployment.check()
