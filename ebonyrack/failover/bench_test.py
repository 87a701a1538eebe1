"""Test bench for failover: proxies in one process and a stand-in group."""

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
from ebonyrack.failover.pre_vote import PrimaryMessageHandler
from ebonyrack.failover.ranking import COORDINATORS_PER_GROUP
from ebonyrack.failover.terms import TermSource
from ebonyrack.peers.request_link import PeerLostError
from ebonyrack.routing.write_path import acknowledge_write
from ebonyrack.routing.write_path import check_write_admitted
from ebonyrack.standins.group import StandinGroup
from ebonyrack.upstreams.connection import UpstreamLostError
from ebonyrack.upstreams.group import DatabaseGroup

GROUP = "scheduling"
CONDITION_LIMIT_S = 20.0


class FakeStore:
    """In-memory store that can be down or lose replies."""

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
        """Replace a value if its index is unchanged."""
        if self.is_down:
            return Err("unreachable")
        present = self.values.get(key)
        if index != (present.index if present else 0):
            return Ok(False)
        self.values[key] = SimpleNamespace(value=value, index=index + 1)
        if self.lost_answers:
            self.lost_answers -= 1
            return Err("response lost")
        return Ok(True)


class FakeNetwork:
    """Delivers messages between hubs in one process; links can be cut."""

    def __init__(self):
        self.hubs = {}
        self.cut = set()

    def is_cut(self, one, other):
        """Return whether the link between two proxies is cut."""
        return frozenset((one, other)) in self.cut

    def isolate(self, name):
        """Cut the links between a proxy and all others."""
        self.cut |= {frozenset((name, other)) for other in self.hubs if other != name}


class FakeHub:
    """A peer hub that delivers messages by function calls."""

    def __init__(self, network, name):
        self.network = network
        self.name = name
        self.handlers = {}
        self.tasks = set()
        network.hubs[name] = self

    def register_handler(self, message_type, callback):
        """Register a handler for a message type."""
        self.handlers.setdefault(message_type, []).append(callback)

    async def dispatch(self, message):
        """Call the handlers of a message and return the first reply."""
        replies = [await item(None, message) for item in self.handlers[type(message)]]
        return next((reply for reply in replies if reply is not None), None)

    async def request(self, peer_name, message, timeout_s):
        """Send a request to a peer; raises PeerLostError if the link is cut."""
        peer = self.network.hubs.get(peer_name)
        if peer is None or self.network.is_cut(self.name, peer_name):
            await asyncio.sleep(timeout_s)
            raise PeerLostError("no answer")
        return await peer.dispatch(message)

    def broadcast(self, message):
        """Send a message to every reachable peer."""
        for name, hub in self.network.hubs.items():
            if name != self.name and not self.network.is_cut(self.name, name):
                task = asyncio.create_task(hub.dispatch(message))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)


class FakeMembership:
    """A membership table that the test fills."""

    def __init__(self, name, names):
        self.local = SimpleNamespace(name=name)
        self.names = names
        self.callbacks = []

    def subscribe(self, callback):
        """Register a function to call after each change."""
        self.callbacks.append(callback)

    def live_members(self):
        """Return the proxies that the test added."""
        return tuple(SimpleNamespace(name=name) for name in sorted(self.names))


class Proxy:
    """The failover components of one proxy, and writes through it."""

    def __init__(self, name, section, network, names, store, safeguards=None):
        self.name = name
        self.store = store
        self.hub = FakeHub(network, name)
        self.membership = FakeMembership(name, names)
        self.group = DatabaseGroup(GROUP, section, 6)
        self.terms = TermSource()
        self.message_handler = PrimaryMessageHandler(self.hub, {GROUP: self.group})
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
        """Insert a booking; return its log position once it is acknowledged."""
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
        """Insert a booking and query the log position of the commit."""
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
        """Retry a write until it is acknowledged or rejected as a duplicate."""
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
        self.competing_terms = TermSource()
        self.proxies = {}
        self.stack = AsyncExitStack()

    async def add_proxy(self, name, safeguards=None):
        """Start a proxy and add it to the membership of the others."""
        self.names.add(name)
        self.notify_members_changed()
        section = self.standins.section(**self.overrides)
        proxy = Proxy(name, section, self.network, self.names, self.store, safeguards)
        self.proxies[name] = await self.stack.enter_async_context(proxy)
        return proxy

    async def stop_proxy(self, name):
        """Stop a proxy and remove it from the membership of the others."""
        proxy = self.proxies.pop(name)
        await proxy.coordinator.__aexit__(None, None, None)
        del self.network.hubs[name]
        self.names.discard(name)
        self.notify_members_changed()
        return proxy

    def notify_members_changed(self):
        """Notify every proxy of a membership change."""
        for proxy in self.proxies.values():
            for callback in proxy.membership.callbacks:
                callback(None)

    def check_acknowledged(self, position):
        """Check that a majority holds a write when it is acknowledged."""
        logs = [upstream.log for upstream in self.standins.upstreams.values()]
        held = sum(log.holds(position) for log in logs)
        assert held > len(logs) // 2, f"{position} is held by {held}"

    def check_terms(self):
        """Check that no two upstreams started the same term."""
        starts = {}
        for upstream in self.standins.upstreams.values():
            for entry in upstream.log.entries:
                if not entry.statements:
                    starts.setdefault(entry.position.term, set()).add(entry.position)
        assert all(len(positions) == 1 for positions in starts.values()), starts

    async def wait_until_converged(self):
        """End all faults; wait until all upstreams follow one primary."""
        await self.end_faults()
        await until(self.is_converged)

    async def end_faults(self):
        """End all faults of the upstreams; lag first, as entries in flight keep it."""
        self.standins.set_lag(0.0)
        for name, upstream in self.standins.upstreams.items():
            if not upstream.is_running:
                await self.standins.restart(name)
            self.standins.resume(name)
            self.standins.delay_answers(name, 0.0)
        self.standins.heal()

    async def abandon_ballot(self, *names):
        """Fence upstreams like a proxy that dies before promoting; return the term."""
        await self.competing_terms.reserve(self.store)
        seen = (upstream.fenced_term for upstream in self.standins.upstreams.values())
        term = self.competing_terms.next_term(max(seen))
        for name in names:
            await self.standins[name].fence(term)
        return term

    async def write_while(self, condition):
        """Write through every proxy while a condition holds; return the requests."""
        written = []

        async def keep_writing(proxy):
            number = 0
            while number < 5 or condition():
                await proxy.write(f"r-{proxy.name}-{number}")
                written.append(f"r-{proxy.name}-{number}")
                number += 1

        await asyncio.gather(*(keep_writing(proxy) for proxy in self.proxies.values()))
        return written

    def is_converged(self):
        """Return whether all upstreams follow one primary and have the same log."""
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
        """Return whether the coordinator ranks of the proxies are up to date."""
        ranks = [proxy.coordinator.rank for proxy in self.proxies.values()]
        known = sorted(rank for rank in ranks if rank is not None)
        return known == list(range(min(COORDINATORS_PER_GROUP, len(ranks))))

    def by_rank(self):
        """Return the proxies in the order of their coordinator ranks."""
        return sorted(
            self.proxies.values(), key=lambda proxy: proxy.coordinator.rank or 0
        )

    def read_requests(self, name):
        """Return the booked requests in an upstream's log, in order."""
        return [
            value
            for entry in self.standins[name].log.entries
            for statement in entry.statements
            for value in find_requests(statement)
        ]


class Writer:
    """A caller that writes one booking after another and records the outcomes."""

    def __init__(self, bench, proxy, prefix):
        self.bench = bench
        self.proxy = proxy
        self.prefix = prefix
        self.acknowledged = []
        self.not_executed = []
        self.unknown = []
        self.number = 0

    async def run(self):
        """Write until cancelled."""
        while True:
            await self.write_one()

    async def write_one(self):
        """Write one booking with a unique request name."""
        self.number += 1
        request = f"r-{self.prefix}-{self.number}"
        try:
            position = await self.proxy.write(request, wait_s=3.0)
        except RequestError as error:
            outcomes = {
                Executed.NO: self.not_executed,
                Executed.UNKNOWN: self.unknown,
            }
            outcomes[ERROR_ANSWERS[error.kind].ran].append(request)
            await asyncio.sleep(0.01)
        else:
            self.acknowledged.append(request)
            self.bench.check_acknowledged(position)

    def check(self, requests):
        """Check the reported outcomes against the requests in the final log."""
        assert len(requests) == len(set(requests)), "a booking was written twice"
        missing = set(self.acknowledged) - set(requests)
        assert not missing, f"acknowledged but lost: {missing}"
        false = set(self.not_executed) & set(requests)
        assert not false, f"reported as not run but present: {false}"


def find_requests(statement):
    """Return the request names in a logged statement."""
    parts = statement.sql.split("'")
    return [part for part in parts if part.startswith("r-")]


async def until(condition, limit_s=CONDITION_LIMIT_S):
    """Wait until a condition is true; fail after a time limit."""
    deadline_s = now_s() + limit_s
    while not condition():
        assert now_s() < deadline_s, "the condition was not met in time"
        await asyncio.sleep(0.005)


@pytest.fixture
async def start_bench():
    """Return a coroutine function that starts a bench; it stops with the test."""
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
