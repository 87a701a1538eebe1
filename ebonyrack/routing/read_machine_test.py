"""Sessions that switch between two proxies while replicas lag and primaries change."""

import asyncio
from contextlib import AsyncExitStack

from hypothesis import Phase
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from loguru import logger
from pygwire.messages import Query

from ebonyrack.core.clock import now_s
from ebonyrack.core.errors import RequestError
from ebonyrack.core.position import LOG_START
from ebonyrack.core.position import parse_position
from ebonyrack.routing.read_index import ReadIndex
from ebonyrack.routing.read_overlap import Overlap
from ebonyrack.routing.read_placement import ReadRequirement
from ebonyrack.routing.read_placement import place_read
from ebonyrack.routing.read_search import Search
from ebonyrack.routing.read_search import find_replicas
from ebonyrack.standins.group import StandinGroup
from ebonyrack.upstreams.connection import UpstreamLostError
from ebonyrack.upstreams.contract import EbonyrackContract
from ebonyrack.upstreams.group import DatabaseGroup

CONTRACT = EbonyrackContract()
PROXIES = st.integers(0, 1)
SESSIONS = st.integers(0, 2)
REPLICAS = st.integers(0, 1)
LAGS_S = st.sampled_from([0.0, 0.02, 0.3])
AGES_S = st.sampled_from([0.0, 0.02, 0.2])
# Timeout of each request; a refused read returns no data, so nothing is checked.
REQUEST_S = 0.3
SECTION = {
    "read_wait_s": 0.05,
    "probe_interval_s": 0.02,
    "suspect_after_s": 0.1,
    "lag_refusal_s": 60.0,
}


class Session:
    """The writes acknowledged to one caller and its session token."""

    def __init__(self):
        self.written = set()
        self.token = LOG_START


class ReadMachine(RuleBasedStateMachine):
    """Checks that every answer covers the writes acknowledged before."""

    def __init__(self):
        super().__init__()
        logger.disable("ebonyrack")
        self.loop = asyncio.new_event_loop()
        self.stack = AsyncExitStack()
        self.sessions = [Session() for _ in range(3)]
        self.acknowledged = {}
        self.observed = set()
        self.count = 0
        self.replaced_primary = None
        self.loop.run_until_complete(self.start())

    async def start(self):
        self.standins = await self.stack.enter_async_context(StandinGroup())
        self.proxies = []
        for _ in range(2):
            group = DatabaseGroup("scheduling", self.standins.section(**SECTION), 8)
            await self.stack.enter_async_context(group)
            index = await self.stack.enter_async_context(ReadIndex(group))
            self.proxies.append((group, index))
            await group.poll_all()

    @property
    def primary_name(self):
        return self.standins.primary().name

    def replica_name(self, number):
        names = [name for name in self.standins.names if name != self.primary_name]
        return names[number]

    @rule(proxy=PROXIES, session=SESSIONS)
    def write(self, proxy, session):
        self.count += 1
        value = f"r-{self.count}"
        committing = self.commit(self.proxies[proxy][0], value)
        position = self.loop.run_until_complete(committing)
        if position is not None:
            self.acknowledged[value] = now_s()
            self.sessions[session].written.add(value)
            self.sessions[session].token = max(self.sessions[session].token, position)

    async def commit(self, group, value):
        """Write a value; return its position if it was acknowledged, else None."""
        deadline_s = now_s() + REQUEST_S
        try:
            primary = await group.wait_for_primary(deadline_s)
            connection = await primary.pool.acquire("tests", deadline_s)
            try:
                sql = f"INSERT INTO bookings (slot, request) VALUES (1, '{value}')"
                answer = await connection.query(sql, REQUEST_S)
                if answer.error is not None:
                    return None
                answer = await connection.query(CONTRACT.build_last_commit(), REQUEST_S)
            finally:
                primary.pool.release(connection)
            position = parse_position(answer.rows[0][0] or "none")
            await group.confirm(position, deadline_s)
        except (RequestError, UpstreamLostError, ValueError):
            return None
        return position

    async def read(self, proxy, requirement):
        """Return the values that a caller would read, or None if there is no answer."""
        group, index = self.proxies[proxy]
        deadline_s = now_s() + REQUEST_S
        try:
            placement = await place_read(group, index, requirement, deadline_s)
            pool = placement.upstream.pool
            connection = await pool.acquire("tests", deadline_s)
            try:
                answer = await connection.query("SELECT request FROM bookings", 1.0)
                is_standby = connection.is_standby
                status = await connection.query(CONTRACT.build_poll(LOG_START, 0), 1.0)
            finally:
                pool.release(connection)
            if placement.hold_until_confirmed:
                position = CONTRACT.parse_status(status.rows[0]).received
                await group.confirm(position, deadline_s)
            if placement.needs_replica and not is_standby:
                return None
        except (RequestError, UpstreamLostError):
            return None
        return {row[0] for row in answer.rows}

    async def read_overlapped(self, proxy, replica):
        """Read from a replica while its index is determined; None if dropped."""
        group, index = self.proxies[proxy]
        deadline_s = now_s() + REQUEST_S
        requirement = ReadRequirement()
        search = Search(group, index, requirement, deadline_s, frozenset(), now_s())
        replicas = find_replicas(search)
        if len(replicas) <= replica:
            return None
        overlap = Overlap(search, replicas[replica])
        pool = overlap.replica.pool
        try:
            overlap.start()
            connection = await pool.acquire("tests", deadline_s)
            try:
                statements = (
                    CONTRACT.build_poll(LOG_START, 0),
                    "SELECT request FROM bookings",
                )
                connection.send(b"".join(Query(sql).to_wire() for sql in statements))
                async with asyncio.timeout(REQUEST_S):
                    polled = await connection.read_answer()
                    status = CONTRACT.parse_status(polled.rows[0])
                    placement = await overlap.validate(status)
                    answer = await connection.read_answer()
                is_standby = connection.is_standby
            finally:
                if not connection.is_clean:
                    connection.close()
                pool.release(connection)
        except (RequestError, UpstreamLostError, TimeoutError):
            return None
        if placement is None or not is_standby:
            return None
        return {row[0] for row in answer.rows}

    def check_read(self, proxy, requirement, expected):
        """Read and check that the expected values are seen."""
        self.compare(self.read(proxy, requirement), expected)

    def compare(self, reading, expected):
        """Wait for an answer and check that the expected values are seen."""
        seen = self.loop.run_until_complete(reading)
        if seen is not None:
            assert expected <= seen, f"{expected - seen} not seen"
            self.observed |= seen

    @rule(proxy=PROXIES)
    def read_strictly(self, proxy):
        self.check_read(proxy, ReadRequirement(), set(self.acknowledged))

    @rule(proxy=PROXIES, replica=REPLICAS)
    def read_with_overlap(self, proxy, replica):
        self.compare(self.read_overlapped(proxy, replica), set(self.acknowledged))

    @rule(proxy=PROXIES, session=SESSIONS)
    def read_with_token(self, proxy, session):
        session = self.sessions[session]
        requirement = ReadRequirement(minimum=session.token)
        self.check_read(proxy, requirement, session.written)

    @rule(proxy=PROXIES, session=SESSIONS, age_s=AGES_S)
    def read_bounded_staleness(self, proxy, session, age_s):
        session = self.sessions[session]
        cutoff_s = now_s() - age_s
        older = {value for value, at_s in self.acknowledged.items() if at_s < cutoff_s}
        requirement = ReadRequirement(None, age_s, session.token)
        self.check_read(proxy, requirement, older | session.written)

    @rule(proxy=PROXIES, session=SESSIONS, replica=REPLICAS, lag_s=LAGS_S)
    def write_and_read_on_other_proxy(self, proxy, session, replica, lag_s):
        """Read a new write in every way while one replica lacks it."""
        self.disturb_replication(replica, lag_s)
        self.write(proxy, session)
        for number in (0, 1):
            self.read_with_overlap(1 - proxy, number)
        self.read_with_token(1 - proxy, session)
        self.read_strictly(1 - proxy)
        self.read_bounded_staleness(1 - proxy, session, 0.0)

    @precondition(lambda self: self.replaced_primary is None)
    @rule(proxy=PROXIES, session=SESSIONS)
    def read_unreplicated_write(self, proxy, session):
        """Read on a primary that is lost before its last write is replicated."""
        primary = self.primary_name
        # Replicas receive the first write but don't apply it before the read.
        self.disturb_replication(None, 10 * REQUEST_S)
        self.write(proxy, session)
        for replica in (0, 1):
            self.standins.cut(primary, self.replica_name(replica))
        self.write(proxy, session)
        self.read_strictly(proxy)
        self.standins.set_lag(0.0)
        self.loop.run_until_complete(self.promote(primary, True))

    @rule(proxy=PROXIES)
    def read_twice_around_write(self, proxy):
        """Read before and after a write: the later read must see it if acknowledged."""

        async def read_around_a_write():
            early = asyncio.create_task(self.read(proxy, ReadRequirement()))
            await asyncio.sleep(0)
            self.count += 1
            value = f"r-{self.count}"
            position = await self.commit(self.proxies[1 - proxy][0], value)
            if position is not None:
                self.acknowledged[value] = now_s()
            known = set(self.acknowledged)
            late = await self.read(proxy, ReadRequirement())
            await early
            return known, late

        known, late = self.loop.run_until_complete(read_around_a_write())
        assert late is None or known <= late

    @rule(replica=st.none() | REPLICAS, lag_s=LAGS_S)
    def disturb_replication(self, replica, lag_s):
        """Delay replication; cut one replica or none off from the primary."""
        self.standins.heal()
        self.standins.set_lag(lag_s)
        if replica is not None:
            self.standins.cut(self.primary_name, self.replica_name(replica))

    @precondition(lambda self: self.replaced_primary is None)
    @rule(is_killed=st.booleans())
    def replace_primary(self, is_killed):
        """Promote a replica; the old primary is killed or keeps running unaware."""
        self.loop.run_until_complete(self.promote(self.primary_name, is_killed))

    async def promote(self, old, is_killed):
        term = self.standins[old].term + 1
        if is_killed:
            await self.standins.kill(old)
        others = [self.standins[name] for name in self.standins.names if name != old]
        for upstream in others:
            assert await upstream.fence(term)
        chosen = max(others, key=lambda upstream: upstream.log.last)
        await chosen.promote(term)
        for upstream in others:
            if upstream is not chosen:
                await upstream.follow(term, chosen.address)
        self.replaced_primary = (old, is_killed)
        held = " ".join(
            statement.sql
            for entry in chosen.log.entries
            for statement in entry.statements
        )
        for value in self.observed | set(self.acknowledged):
            assert f"'{value}'" in held, f"{value} was seen or acknowledged but is lost"

    @precondition(lambda self: self.replaced_primary is not None)
    @rule(follows=st.booleans())
    def bring_back(self, follows):
        """Restart the old primary if it was killed; optionally let it follow."""
        self.loop.run_until_complete(self.rejoin(follows))

    async def rejoin(self, follows):
        name, is_killed = self.replaced_primary
        upstream = self.standins[name]
        if is_killed:
            await self.standins.restart(name)
            self.replaced_primary = (name, False)
        if follows:
            primary = self.standins.primary()
            await upstream.follow(primary.term, primary.address)
            self.replaced_primary = None

    @rule(is_polled=st.booleans())
    def let_time_pass(self, is_polled):
        self.loop.run_until_complete(asyncio.sleep(0.03))
        for group, _ in self.proxies if is_polled else ():
            self.loop.run_until_complete(group.poll_all())

    def teardown(self):
        self.loop.run_until_complete(self.stack.aclose())
        self.loop.close()
        logger.enable("ebonyrack")


ReadMachine.TestCase.settings = settings(
    max_examples=20,
    stateful_step_count=20,
    deadline=None,
    derandomize=True,
    # Steps depend on elapsed time, so a shrunk example need not fail in the same way.
    phases=(Phase.explicit, Phase.generate),
)
TestReads = ReadMachine.TestCase
