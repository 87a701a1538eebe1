"""Proxies of one process around a stand-in group, for the tests of failover."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from types import SimpleNamespace

import pytest
from result import Err
from result import Ok

from ebonyrack.core.clock import now_s
from ebonyrack.core.errors import ERROR_ANSWERS
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import Executed
from ebonyrack.core.errors import RequestError
from ebonyrack.core.position import parse_position
from ebonyrack.failover.coordinator import Coordinator
from ebonyrack.failover.pre_vote import OpinionDesk
from ebonyrack.failover.ranking import COORDINATORS
from ebonyrack.failover.terms import TermSource
from ebonyrack.peers.link import PeerLostError
from ebonyrack.routing.write_path import acknowledge_write
from ebonyrack.routing.write_path import check_write_admitted
from ebonyrack.standins.group import StandinGroup
from ebonyrack.upstreams.connection import UpstreamLostError
from ebonyrack.upstreams.group import DatabaseGroup

GROUP = "scheduling"
CONDITION_LIMIT_S = 20.0


class FakeStore:
    """Compare-and-swap in memory that can be down or lose its answers."""

    def __init__(self):
        self.values = {}
        self.is_down = False
        self.lost_answers = 0

    async def get(self, key):
        """Read a value."""
        if self.is_down:
            return Err("unreachable")
        return Ok(self.values.get(key))

    async def compare_and_swap(self, key, value, index):
        """Replace a value that nobody changed meanwhile."""
        if self.is_down:
            return Err("unreachable")
        present = self.values.get(key)
        if index != (present.index if present else 0):
            return Ok(False)
        self.values[key] = SimpleNamespace(value=value, index=index + 1)
        if self.lost_answers:
            self.lost_answers -= 1
            return Err("answer lost")
        return Ok(True)


class FakeNetwork:
    """Hands messages between hubs of one process; links can be cut."""

    def __init__(self):
        self.hubs = {}
        self.cut = set()

    def is_cut(self, one, other):
        """Tell whether two proxies can't talk."""
        return frozenset((one, other)) in self.cut

    def isolate(self, name):
        """Cut a proxy from all others."""
        self.cut |= {frozenset((name, other)) for other in self.hubs if other != name}


class FakeHub:
    """A hub whose links are calls."""

    def __init__(self, network, name):
        self.network = network
        self.name = name
        self.handlers = {}
        self.tasks = set()
        network.hubs[name] = self

    def register_handler(self, message_type, callback):
        """Register a coroutine for a type of message."""
        self.handlers.setdefault(message_type, []).append(callback)

    async def dispatch(self, message):
        """Call what is registered for a message."""
        replies = [await item(None, message) for item in self.handlers[type(message)]]
        return next((reply for reply in replies if reply is not None), None)

    async def request(self, peer_name, message, timeout_s):
        """Ask a peer; a cut link gives no answer."""
        peer = self.network.hubs.get(peer_name)
        if peer is None or self.network.is_cut(self.name, peer_name):
            await asyncio.sleep(timeout_s)
            raise PeerLostError("no answer")
        return await peer.dispatch(message)

    def broadcast(self, message):
        """Send a message to every peer that is not cut off."""
        for name, hub in self.network.hubs.items():
            if name != self.name and not self.network.is_cut(self.name, name):
                task = asyncio.create_task(hub.dispatch(message))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)


class FakeMembership:
    """A table of proxies that the test fills."""

    def __init__(self, name, names):
        self.local = SimpleNamespace(name=name)
        self.names = names
        self.callbacks = []

    def subscribe(self, callback):
        """Call a function after each change."""
        self.callbacks.append(callback)

    def live_members(self):
        """Return the proxies that the test named."""
        return tuple(SimpleNamespace(name=name) for name in sorted(self.names))


class Proxy:
    """What failover needs of one proxy, and writes through it."""

    def __init__(self, name, section, network, names, store, safeguards=None):
        self.name = name
        self.store = store
        self.hub = FakeHub(network, name)
        self.membership = FakeMembership(name, names)
        self.group = DatabaseGroup(GROUP, section, 6)
        self.terms = TermSource()
        self.desk = OpinionDesk(self.hub, {GROUP: self.group})
        self.coordinator = Coordinator(
            self.group, self.terms, self.hub, self.membership, safeguards
        )

    async def __aenter__(self):
        await self.terms.reserve(self.store)
        await self.group.__aenter__()
        await self.coordinator.__aenter__()
        return self

    async def __aexit__(self, *error):
        if self.coordinator.task is not None:
            await self.coordinator.__aexit__(*error)
        await self.group.__aexit__(*error)

    async def write(self, request, wait_s=5.0):
        """Insert a booking; returns its position once it is acknowledged."""
        deadline_s = now_s() + wait_s
        connection, position = await self.insert(request, deadline_s)
        await acknowledge_write(self.group, connection, position, deadline_s)
        return position

    async def insert(self, request, deadline_s):
        """Insert a booking without waiting for its acknowledgement."""
        primary = await self.group.wait_for_primary(deadline_s)
        check_write_admitted(self.group)
        try:
            connection = await primary.pool.acquire("tests", deadline_s)
        except UpstreamLostError as error:
            self.group.report_connection_lost(primary.name, error.reason)
            raise RequestError(ErrorKind.UPSTREAM_LOST, error.reason) from None
        try:
            position = await self.commit(connection, request, deadline_s)
        except UpstreamLostError as error:
            self.group.report_connection_lost(primary.name, error.reason)
            raise RequestError(ErrorKind.OUTCOME_UNKNOWN, error.reason) from None
        finally:
            primary.pool.release(connection)
        return connection, position

    async def commit(self, connection, request, deadline_s):
        """Insert a booking and ask for the position of the commit."""
        sql = (
            f"INSERT INTO bookings (slot, booker, request) VALUES (1, 'a', '{request}')"
        )
        answer = await connection.query(sql, max(0.01, deadline_s - now_s()))
        if answer.error is not None:
            raise RequestError(ErrorKind.UPSTREAM_LOST, answer.error.get("M", ""))
        answer = await connection.query(
            "SELECT ebonyrack_last_commit()", max(0.01, deadline_s - now_s())
        )
        return parse_position(answer.rows[0][0])

    async def write_until_acknowledged(self, request):
        """Write like a caller that never gives up, under one key."""
        for _ in range(400):
            try:
                return await self.write(request)
            except RequestError as error:
                if "UNIQUE" in error.reason or "duplicate" in error.reason:
                    return None
                await asyncio.sleep(0.01)
        raise AssertionError(f"{request} was never acknowledged")


class Bench:
    """A stand-in group and the proxies in front of it."""

    def __init__(self, standins, section_overrides):
        self.standins = standins
        self.overrides = section_overrides
        self.network = FakeNetwork()
        self.names = set()
        self.store = FakeStore()
        self.rival_terms = TermSource()
        self.proxies = {}
        self.stack = AsyncExitStack()

    async def add_proxy(self, name, safeguards=None):
        """Start a proxy that the others know."""
        self.names.add(name)
        self.tell_members_changed()
        section = self.standins.section(**self.overrides)
        proxy = Proxy(name, section, self.network, self.names, self.store, safeguards)
        self.proxies[name] = await self.stack.enter_async_context(proxy)
        return proxy

    async def stop_proxy(self, name):
        """Stop a proxy; the others hear that it is dead."""
        proxy = self.proxies.pop(name)
        await proxy.coordinator.__aexit__(None, None, None)
        del self.network.hubs[name]
        self.names.discard(name)
        self.tell_members_changed()
        return proxy

    def tell_members_changed(self):
        """Let every proxy look at the table of members again."""
        for proxy in self.proxies.values():
            for callback in proxy.membership.callbacks:
                callback(None)

    def check_acknowledged(self, position):
        """Check that a majority holds a write at the moment of its acknowledgement."""
        logs = [upstream.log for upstream in self.standins.upstreams.values()]
        held = sum(log.holds(position) for log in logs)
        assert held > len(logs) // 2, f"{position} is held by {held}"

    def check_terms(self):
        """Check that no two upstreams ever started the same term."""
        starts = {}
        for upstream in self.standins.upstreams.values():
            for entry in upstream.log.entries:
                if not entry.statements:
                    starts.setdefault(entry.position.term, set()).add(entry.position)
        assert all(len(positions) == 1 for positions in starts.values()), starts

    async def settle(self):
        """Wait until every upstream follows one primary and all logs are alike."""
        await self.mend()
        await until(self.is_settled)

    async def mend(self):
        """End every fault of the upstreams; lag first, as entries keep theirs."""
        self.standins.set_lag(0.0)
        for name, upstream in self.standins.upstreams.items():
            if not upstream.is_running:
                await self.standins.restart(name)
            self.standins.thaw(name)
            self.standins.delay(name, 0.0)
        self.standins.heal()

    async def abandon_ballot(self, *names):
        """Fence upstreams as a proxy does that dies before it promotes one."""
        await self.rival_terms.reserve(self.store)
        seen = (upstream.fenced_term for upstream in self.standins.upstreams.values())
        term = self.rival_terms.next_term(max(seen))
        for name in names:
            await self.standins[name].fence(term)
        return term

    async def write_while(self, condition):
        """Write through every proxy while a condition holds; returns what landed."""
        written = []

        async def keep_writing(proxy):
            number = 0
            while number < 5 or condition():
                await proxy.write(f"r-{proxy.name}-{number}")
                written.append(f"r-{proxy.name}-{number}")
                number += 1

        await asyncio.gather(*(keep_writing(proxy) for proxy in self.proxies.values()))
        return written

    def is_settled(self):
        """Tell whether there is one primary whose log all upstreams hold."""
        primary = self.standins.primary()
        return (
            primary is not None
            and all(
                upstream is primary
                or (upstream.term == primary.term and upstream.role == "replica")
                for upstream in self.standins.upstreams.values()
            )
            and all(
                upstream.fenced_term <= primary.term
                for upstream in self.standins.upstreams.values()
            )
            and all(
                upstream.log.entries == primary.log.entries
                for upstream in self.standins.upstreams.values()
            )
        )

    def is_ranked(self):
        """Tell whether each proxy knows its place among the coordinators."""
        ranks = [proxy.coordinator.rank for proxy in self.proxies.values()]
        known = sorted(rank for rank in ranks if rank is not None)
        return known == list(range(min(COORDINATORS, len(ranks))))

    def by_rank(self):
        """Return the proxies in the order in which they coordinate."""
        return sorted(
            self.proxies.values(), key=lambda proxy: proxy.coordinator.rank or 0
        )

    def read_requests(self, name):
        """Return the booked requests that an upstream's own log holds, in order."""
        return [
            value
            for entry in self.standins[name].log.entries
            for statement in entry.statements
            for value in find_requests(statement)
        ]


class Writer:
    """A caller that writes one booking after another and notes the outcomes."""

    def __init__(self, bench, proxy, prefix):
        self.bench = bench
        self.proxy = proxy
        self.prefix = prefix
        self.acknowledged = []
        self.undone = []
        self.unknown = []
        self.number = 0

    async def run(self):
        """Write for ever."""
        while True:
            await self.write_one()

    async def write_one(self):
        """Write one booking under a name of its own."""
        self.number += 1
        request = f"r-{self.prefix}-{self.number}"
        try:
            position = await self.proxy.write(request, wait_s=3.0)
        except RequestError as error:
            outcomes = {
                Executed.NO: self.undone,
                Executed.UNKNOWN: self.unknown,
            }
            outcomes[ERROR_ANSWERS[error.kind].ran].append(request)
            await asyncio.sleep(0.01)
        else:
            self.acknowledged.append(request)
            self.bench.check_acknowledged(position)

    def check(self, requests):
        """Check the outcomes against the requests that the group holds at the end."""
        assert len(requests) == len(set(requests)), "a booking is doubled"
        missing = set(self.acknowledged) - set(requests)
        assert not missing, f"acknowledged and lost: {missing}"
        false = set(self.undone) & set(requests)
        assert not false, f"answered as not run, yet there: {false}"


def find_requests(statement):
    """Find the requests that a logged statement names."""
    parts = statement.sql.split("'")
    return [part for part in parts if part.startswith("r-")]


async def until(condition, limit_s=CONDITION_LIMIT_S):
    """Wait for a condition on the state of the proxies, within a bound."""
    deadline_s = now_s() + limit_s
    while not condition():
        assert now_s() < deadline_s, "the condition did not come true"
        await asyncio.sleep(0.005)


@pytest.fixture
async def start_bench():
    """Return a coroutine that starts a bench; it ends with the test."""
    async with AsyncExitStack() as stack:

        async def start(proxies=1, options=None, count=3, **overrides):
            standins = StandinGroup(count=count, options=options)
            await stack.enter_async_context(standins)
            bench = Bench(standins, overrides)
            await stack.enter_async_context(bench.stack)
            for number in range(proxies):
                await bench.add_proxy(f"proxy-{number + 1}")
            await until(bench.is_ranked)
            for proxy in bench.proxies.values():
                await proxy.group.wait_for_primary(now_s() + 5)
            await until(
                lambda: all(
                    len(proxy.group.replicas()) == count - 1
                    for proxy in bench.proxies.values()
                )
            )
            return bench

        yield start
