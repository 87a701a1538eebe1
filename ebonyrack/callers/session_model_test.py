"""Sessions of several callers against a model: transactions never mix."""

import asyncio
from contextlib import AsyncExitStack

from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import settings
from hypothesis import strategies
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from pygwire.messages import CancelRequest

from ebonyrack.callers.conftest import FLUSH
from ebonyrack.callers.conftest import SYNC
from ebonyrack.callers.conftest import bind
from ebonyrack.callers.conftest import execute
from ebonyrack.callers.conftest import find_error
from ebonyrack.callers.conftest import join_kinds
from ebonyrack.callers.conftest import open_proxy
from ebonyrack.callers.conftest import parse
from ebonyrack.callers.conftest import wait_until
from ebonyrack.callers.watchdog import check_sessions
from ebonyrack.core.clock import now_s

INSERT = "INSERT INTO bookings (slot, booker, request) VALUES (1, 'me', '{}')"
READ = "SELECT request FROM bookings"
CALLERS = 3
LONG_S = 3600.0

NUMBERS = strategies.integers(0, CALLERS - 1)
# How a statement is sent.
MANNERS = strategies.sampled_from(["simple", "extended", "named", "flushed"])


class ModelCaller:
    """What a caller must see.

    Attributes:
        wire: Its connection.
        status: Transaction status.
        pending: Requests written in its transaction.
        is_writer: Whether its transaction has written, perhaps in vain.
        has_expired: Whether the next statement meets the idle limit.
    """

    def __init__(self, wire):
        self.wire = wire
        self.end()

    def end(self):
        self.status = "I"
        self.pending = []
        self.is_writer = False
        self.has_expired = False

    async def run(self, sql, manner):
        if manner == "simple":
            return await self.wire.query(sql)
        name = b"s%d" % (hash(sql) % 1000) if manner == "named" else b""
        flush = FLUSH if manner == "flushed" else b""
        frames = await self.wire.send_and_read(
            parse(name, sql.encode()), flush, bind(name), execute(), flush, SYNC
        )
        if name:
            close = b"C\x00\x00\x00" + bytes([6 + len(name)]) + b"S" + name + b"\x00"
            await self.wire.send_and_read(close, SYNC)
        return frames


class SessionMachine(RuleBasedStateMachine):
    """Callers that begin, write, read, commit, roll back, leave and are cut off.

    Attributes:
        committed: Requests that must be there.
        callers: The callers with what each must see.
    """

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner()
        self.stack = AsyncExitStack()
        self.proxy = self.runner.run(
            self.stack.enter_async_context(open_proxy(limit=4))
        )
        self.callers = [self.connect() for _ in range(CALLERS)]
        self.committed = set()
        self.count = 0

    def connect(self):
        return ModelCaller(self.runner.run(self.proxy.start_wire()))

    def teardown(self):
        self.runner.run(self.stack.aclose())
        self.runner.close()

    def run(self, caller, sql, manner="simple"):
        frames = self.runner.run(caller.run(sql, manner))
        if caller.has_expired and not sql.startswith("ROLLBACK"):
            assert find_error(frames)[0] == "25P03"
            caller.has_expired = False
            frames = []
        else:
            caller.has_expired = False
        return frames

    @property
    def writer(self):
        return next((caller for caller in self.callers if caller.is_writer), None)

    @rule(number=NUMBERS, manner=MANNERS)
    def begin(self, number, manner):
        caller = self.callers[number]
        frames = self.run(caller, "BEGIN", manner)
        if frames and caller.status == "E":
            assert find_error(frames)[0] == "25P02"
        elif caller.status == "I":
            caller.status = "T"

    @rule(number=NUMBERS, manner=MANNERS, is_double=strategies.booleans())
    def write(self, number, manner, is_double):
        caller = self.callers[number]
        # Two transactions that write one value wait for each other; so does a test
        # that runs their statements one after the other.
        is_alone = self.writer in (None, caller)
        is_double = is_double and is_alone and bool(self.committed)
        self.count += 1
        request = min(self.committed) if is_double else f"r{self.count}"
        frames = self.run(caller, INSERT.format(request), manner)
        if not frames:
            return
        caller.is_writer = caller.status == "T" or caller.is_writer
        if caller.status == "E":
            assert find_error(frames)[0] == "25P02"
        elif is_double:
            assert find_error(frames)[0] == "23505"
            self.fail_transaction(caller)
        else:
            assert "E" not in join_kinds(frames)
            if caller.status == "T":
                caller.pending.append(request)
            else:
                self.committed.add(request)

    def fail_transaction(self, caller):
        if caller.status == "T":
            caller.status = "E"
        caller.pending = []

    @rule(number=NUMBERS, manner=MANNERS)
    def read(self, number, manner):
        caller = self.callers[number]
        frames = self.run(caller, READ, manner)
        if not frames:
            return
        if caller.status == "E":
            assert find_error(frames)[0] == "25P02"
            return
        seen = {payload[6:].decode() for kind, payload in frames if kind == b"D"}
        assert seen == self.committed | set(caller.pending)

    @rule(number=NUMBERS, manner=MANNERS)
    def commit(self, number, manner):
        caller = self.callers[number]
        frames = self.run(caller, "COMMIT", manner)
        if not frames:
            caller.end()
            return
        tag = b"ROLLBACK\x00" if caller.status == "E" else b"COMMIT\x00"
        assert (b"C", tag) in frames
        self.committed.update(caller.pending)
        caller.end()

    @rule(number=NUMBERS, manner=MANNERS)
    def roll_back(self, number, manner):
        caller = self.callers[number]
        frames = self.run(caller, "ROLLBACK", manner)
        assert (b"C", b"ROLLBACK\x00") in frames
        caller.end()

    @rule(number=NUMBERS)
    def leave(self, number):
        self.callers[number].wire.abort()
        self.runner.run(wait_until(lambda: len(self.proxy.sessions) == CALLERS - 1))
        self.callers[number] = self.connect()

    @rule()
    @precondition(lambda self: self.writer is not None)
    def leave_while_writing(self):
        self.leave(self.callers.index(self.writer))

    @rule()
    @precondition(lambda self: any(caller.status == "T" for caller in self.callers))
    def expire(self):
        """Every caller is idle for too long."""
        holding = {s.number for s in self.proxy.sessions if s.connection is not None}
        check_sessions(self.proxy.sessions, now_s() + LONG_S)
        ordered = sorted(self.proxy.sessions, key=lambda session: session.number)
        by_port = {s.stream.transport.get_extra_info("peername"): s for s in ordered}
        for caller in self.callers:
            name = caller.wire.writer.get_extra_info("sockname")
            if by_port[name].number in holding:
                caller.end()
                caller.status = "E"
                caller.has_expired = True

    @rule(number=NUMBERS)
    def cancel_nothing(self, number):
        """A cancel request that comes when nothing runs hits nobody."""
        session = self.proxy.sessions[number]
        self.runner.run(self.send_cancel(session))

    async def send_cancel(self, session):
        caller = await self.proxy.open_wire()
        secret = session.secret_key
        request = CancelRequest(process_id=session.number, secret_key=secret)
        caller.send(request.to_wire())
        await caller.read_to_end()

    @invariant()
    def statuses_and_connections_agree(self):
        busy = sum(
            len(upstream.pool.busy) for upstream in self.proxy.group.upstreams.values()
        )
        held = sum(session.connection is not None for session in self.proxy.sessions)
        assert busy == held
        open_count = sum(caller.status != "I" for caller in self.callers)
        assert held <= open_count


TestSessions = SessionMachine.TestCase
TestSessions.settings = settings(
    max_examples=60,
    phases=(Phase.explicit, Phase.generate),
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
