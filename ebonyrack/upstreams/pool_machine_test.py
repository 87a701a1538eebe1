"""Stateful test of a pool: requests, releases, losses and resizes in any order."""

import asyncio

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from loguru import logger
from pytest import MonkeyPatch

from ebonyrack.config.sections import GroupSection
from ebonyrack.core.address import Address
from ebonyrack.core.errors import RequestError
from ebonyrack.pooling import admission
from ebonyrack.pooling import connection_limit
from ebonyrack.pooling import connection_opener as opener_module
from ebonyrack.pooling import pool as pool_module
from ebonyrack.pooling import pool_queue
from ebonyrack.pooling import pool_slots
from ebonyrack.pooling import wait_estimator
from ebonyrack.upstreams import pool as postgresql_pool
from ebonyrack.upstreams.connection import UpstreamLostError
from ebonyrack.upstreams.pool import ConnectionPool

CALLERS = st.sampled_from(["booking", "calendar", "confirmation"])
TIMED_MODULES = (
    admission,
    connection_limit,
    opener_module,
    pool_module,
    pool_queue,
    pool_slots,
    wait_estimator,
)
LOOP_STEPS = 20
WAIT_S = 3600.0


class FakeConnection:
    """A connection that is clean until the test changes it."""

    def __init__(self, account=""):
        self.account = account
        self.is_clean = True
        self.is_idle_in_transaction = False
        self.users = 0

    def close(self):
        self.is_clean = False


class PoolMachine(RuleBasedStateMachine):
    """Drives a pool whose connections open when a rule completes them."""

    def __init__(self):
        super().__init__()
        # The clock advances only by a rule, so that every run is deterministic.
        self.clock_s = 1000.0
        self.loop = asyncio.new_event_loop()
        self.loop.time = self.read_clock
        self.clocks = MonkeyPatch()
        for module in TIMED_MODULES:
            self.clocks.setattr(module, "now_s", self.read_clock)
        section = GroupSection(owner="database", upstreams=(), queue_limit=6)
        self.pool = ConnectionPool(Address("127.0.0.1", 1), section, 2)
        self.pool.queue.weights = {"booking": 3}
        self.pending_opens = []
        self.requests = []
        self.held = []
        logger.disable(pool_module.__name__)
        self.allowed_open_count = 2
        self.original_open_connection = postgresql_pool.open_connection
        postgresql_pool.open_connection = self.open_connection

    def read_clock(self):
        return self.clock_s

    async def open_connection(self, *arguments):
        gate = self.loop.create_future()
        self.pending_opens.append(gate)
        try:
            return await gate
        finally:
            self.pending_opens.remove(gate)

    def run_loop(self):
        async def step():
            for _ in range(LOOP_STEPS):
                await asyncio.sleep(0)

        self.loop.run_until_complete(step())
        for request in [item for item in self.requests if item.done()]:
            self.requests.remove(request)
            if request.cancelled():
                continue
            error = request.exception()
            assert error is None or isinstance(error, (RequestError, UpstreamLostError))
            if error is None:
                connection = request.result()
                assert connection.is_clean
                connection.users += 1
                self.held.append(connection)

    @rule(caller=CALLERS)
    def acquire(self, caller):
        async def start():
            request = self.pool.acquire(caller, self.clock_s + WAIT_S)
            self.requests.append(asyncio.ensure_future(request))

        self.loop.run_until_complete(start())
        self.run_loop()

    @rule(caller=CALLERS)
    def fill_queue(self, caller):
        for _ in range(self.pool.queue.limit + self.pool.limit):
            self.acquire(caller)

    @rule(caller=CALLERS)
    def acquire_and_open(self, caller):
        self.acquire(caller)
        for gate in self.pending_opens:
            gate.set_result(FakeConnection())
        self.run_loop()

    @precondition(lambda self: self.pending_opens)
    @rule(data=st.data(), outcome=st.sampled_from(["opened", "opened", "lost", "full"]))
    def finish_open(self, data, outcome):
        gate = data.draw(st.sampled_from(self.pending_opens))
        if outcome == "opened":
            gate.set_result(FakeConnection())
        else:
            sqlstate = "53300" if outcome == "full" else ""
            gate.set_exception(UpstreamLostError(outcome, sqlstate))
        self.run_loop()

    @precondition(lambda self: self.held)
    @rule(data=st.data(), is_clean=st.sampled_from([True, True, False]))
    def release(self, data, is_clean):
        connection = self.held.pop(data.draw(st.integers(0, len(self.held) - 1)))
        connection.is_clean = is_clean
        connection.users -= 1
        self.pool.release(connection)
        self.run_loop()

    @precondition(lambda self: self.held)
    @rule()
    def release_all(self):
        while self.held:
            connection = self.held.pop()
            connection.users -= 1
            self.pool.release(connection)
            self.run_loop()

    @precondition(lambda self: self.held and self.pool.waiting_count)
    @rule(data=st.data())
    def release_while_a_waiter_is_cancelled(self, data):
        connection = self.held.pop()
        connection.users -= 1
        self.pool.release(connection)
        data.draw(st.sampled_from(self.requests)).cancel()
        self.run_loop()

    @precondition(lambda self: self.requests)
    @rule(data=st.data())
    def cancel_request(self, data):
        data.draw(st.sampled_from(self.requests)).cancel()
        self.run_loop()

    @precondition(lambda self: self.pool.idle)
    @rule(data=st.data())
    def lose_idle(self, data):
        data.draw(st.sampled_from(self.pool.idle)).is_clean = False

    @rule(limit=st.integers(0, 4))
    def resize(self, limit):
        self.pool.resize(limit)
        self.run_loop()

    @precondition(lambda self: self.pool.size_limit.refused_at_s is not None)
    @rule()
    def advance_clock(self):
        self.clock_s += 1.0
        self.run_loop()

    @precondition(lambda self: self.held and self.pool.open_count > 1)
    @rule()
    def stop_and_resume_new_work(self):
        self.pool.stop_new_work()
        self.run_loop()
        assert not self.pool.waiting_count and not self.pool.idle
        self.pool.resume_new_work()

    @rule(count=st.integers(0, 4))
    def warm(self, count):
        self.requests.append(self.loop.create_task(self.warm_up(count)))
        self.run_loop()

    async def warm_up(self, count):
        await self.pool.warm_up(count)
        raise UpstreamLostError("warm connections have no user")

    @invariant()
    def connections_are_counted_and_limited(self):
        pool = self.pool
        assert pool.opening == len(self.pending_opens)
        assert set(pool.busy) == set(self.held)
        assert all(connection.users == 1 for connection in self.held)
        assert pool.open_count <= max(self.allowed_open_count, pool.limit)
        self.allowed_open_count = max(pool.open_count, pool.limit)
        if pool.open_count > pool.limit:
            assert not pool.idle

    @invariant()
    def no_request_waits_while_a_connection_is_available(self):
        pool = self.pool
        assert len(pool.queue) <= pool.queue.limit
        if pool.queue:
            assert not pool.has_free_slot()
            assert pool.open_count > 0

    @invariant()
    def waiters_are_queued_in_order_of_arrival(self):
        for queue in self.pool.queue.callers.values():
            numbers = [waiter.number for waiter in queue.waiters]
            assert numbers == sorted(numbers)

    def teardown(self):
        try:
            for request in self.requests:
                request.cancel()
            self.run_loop()
            for connection in self.held:
                self.pool.release(connection)
            assert self.pool.busy_count == 0 and self.pool.waiting_count == 0
            assert (
                self.pool.open_count == len(self.pool.idle) <= self.allowed_open_count
            )
        finally:
            logger.enable(pool_module.__name__)
            self.pool.size_limit.stop_raising()
            postgresql_pool.open_connection = self.original_open_connection
            self.clocks.undo()
            self.loop.close()


PoolMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
TestPool = PoolMachine.TestCase
