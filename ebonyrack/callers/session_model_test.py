"""Model test: transactions of concurrent callers never interfere."""

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
BEYOND_IDLE_LIMIT_S = 3600.0

NUMBERS = strategies.integers(0, CALLERS - 1)
# Protocol used to send a statement.
SEND_MODES = strategies.sampled_from(["simple", "extended", "named", "flushed"])


class ModelCaller:
    """A caller and the state that its session must have.

    Attributes:
        wire: The caller's connection.
        status: Expected transaction status.
        pending: Requests written in the open transaction.
        has_written: Whether the transaction has sent a write, even if it failed.
        has_expired: Whether the next statement fails with the idle timeout.
    """

    def __init__(self, wire):
        self.wire = wire
        self.end()

    def end(self):
        self.status = "I"
        self.pending = []
        self.has_written = False
        self.has_expired = False

    async def run(self, sql, mode):
        if mode == "simple":
            return await self.wire.query(sql)
        name = b"s%d" % (hash(sql) % 1000) if mode == "named" else b""
        flush = FLUSH if mode == "flushed" else b""
        frames = await self.wire.send_and_read(
            parse(name, sql.encode()), flush, bind(name), execute(), flush, SYNC
        )
        if name:
            close = b"C\x00\x00\x00" + bytes([6 + len(name)]) + b"S" + name + b"\x00"
            await self.wire.send_and_read(close, SYNC)
        return frames


class SessionMachine(RuleBasedStateMachine):
    """Callers that begin, write, read, commit, roll back, disconnect and time out.

    Attributes:
        committed: Requests of committed writes.
        callers: The callers with their expected state.
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

    def run(self, caller, sql, mode="simple"):
        frames = self.runner.run(caller.run(sql, mode))
        if caller.has_expired and not sql.startswith("ROLLBACK"):
            assert find_error(frames)[0] == "25P03"
            caller.has_expired = False
            frames = []
        else:
            caller.has_expired = False
        return frames

    @property
    def writer(self):
        return next((caller for caller in self.callers if caller.has_written), None)

    @rule(number=NUMBERS, mode=SEND_MODES)
    def begin(self, number, mode):
        caller = self.callers[number]
        frames = self.run(caller, "BEGIN", mode)
        if frames and caller.status == "E":
            assert find_error(frames)[0] == "25P02"
        elif caller.status == "I":
            caller.status = "T"

    @rule(number=NUMBERS, mode=SEND_MODES, is_duplicate=strategies.booleans())
    def write(self, number, mode, is_duplicate):
        caller = self.callers[number]
        # A duplicate write waits for the other transaction, which would block this
        # test, because it runs statements one after the other.
        is_only_writer = self.writer in (None, caller)
        is_duplicate = is_duplicate and is_only_writer and bool(self.committed)
        self.count += 1
        request = min(self.committed) if is_duplicate else f"r{self.count}"
        frames = self.run(caller, INSERT.format(request), mode)
        if not frames:
            return
        caller.has_written = caller.status == "T" or caller.has_written
        if caller.status == "E":
            assert find_error(frames)[0] == "25P02"
        elif is_duplicate:
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

    @rule(number=NUMBERS, mode=SEND_MODES)
    def read(self, number, mode):
        caller = self.callers[number]
        frames = self.run(caller, READ, mode)
        if not frames:
            return
        if caller.status == "E":
            assert find_error(frames)[0] == "25P02"
            return
        seen = {payload[6:].decode() for kind, payload in frames if kind == b"D"}
        assert seen == self.committed | set(caller.pending)

    @rule(number=NUMBERS, mode=SEND_MODES)
    def commit(self, number, mode):
        caller = self.callers[number]
        frames = self.run(caller, "COMMIT", mode)
        if not frames:
            caller.end()
            return
        tag = b"ROLLBACK\x00" if caller.status == "E" else b"COMMIT\x00"
        assert (b"C", tag) in frames
        self.committed.update(caller.pending)
        caller.end()

    @rule(number=NUMBERS, mode=SEND_MODES)
    def roll_back(self, number, mode):
        caller = self.callers[number]
        frames = self.run(caller, "ROLLBACK", mode)
        assert (b"C", b"ROLLBACK\x00") in frames
        caller.end()

    @rule(number=NUMBERS)
    def disconnect(self, number):
        self.callers[number].wire.abort()
        self.runner.run(wait_until(lambda: len(self.proxy.sessions) == CALLERS - 1))
        self.callers[number] = self.connect()

    @rule()
    @precondition(lambda self: self.writer is not None)
    def disconnect_while_writing(self):
        self.disconnect(self.callers.index(self.writer))

    @rule()
    @precondition(lambda self: any(caller.status == "T" for caller in self.callers))
    def expire_idle_transactions(self):
        """Exceed the idle limit in every session that holds a connection."""
        holding = {s.number for s in self.proxy.sessions if s.connection is not None}
        check_sessions(self.proxy.sessions, now_s() + BEYOND_IDLE_LIMIT_S)
        ordered = sorted(self.proxy.sessions, key=lambda session: session.number)
        by_port = {s.stream.transport.get_extra_info("peername"): s for s in ordered}
        for caller in self.callers:
            name = caller.wire.writer.get_extra_info("sockname")
            if by_port[name].number in holding:
                caller.end()
                caller.status = "E"
                caller.has_expired = True

    @rule(number=NUMBERS)
    def cancel_idle_session(self, number):
        """Send a cancel request while no statement runs, which must have no effect."""
        session = self.proxy.sessions[number]
        self.runner.run(self.send_cancel(session))

    async def send_cancel(self, session):
        caller = await self.proxy.open_wire()
        secret = session.secret_key
        request = CancelRequest(process_id=session.number, secret_key=secret)
        caller.send(request.to_wire())
        await caller.read_to_end()

    @invariant()
    def connections_match_open_transactions(self):
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
