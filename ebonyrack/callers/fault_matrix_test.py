"""Injects each fault at each step of a write and of a read of a caller.

If EBONYRACK_FAULT_TABLE names a file, each cell appends a line with its result.
"""

import asyncio
import os

import pytest
from pygwire.messages import CancelRequest

from ebonyrack.callers import upstream_steps
from ebonyrack.callers.conftest import find_error
from ebonyrack.callers.conftest import join_kinds
from ebonyrack.callers.conftest import open_proxy
from ebonyrack.callers.conftest import wait_until
from ebonyrack.callers.relay import Relay
from ebonyrack.callers.session import CallerSession
from ebonyrack.core.clock import now_s
from ebonyrack.upstreams.connection import UpstreamConnection
from ebonyrack.upstreams.pool import ConnectionPool

PRIMARY = "up-1"
NAMES = ("up-1", "up-2", "up-3")
REQUEST = "only-once"
INSERT = f"INSERT INTO bookings (slot, booker, request) VALUES (1, 'me', '{REQUEST}')"
READ = "SELECT request FROM bookings ORDER BY request"
SEEDED_ROWS = 40
SHORT_ROW_BYTES = 100
LIMITS = {"queue_wait_s": 0.6, "answer_wait_s": 0.4, "confirm_wait_s": 0.6}

OK, NO, UNKNOWN, YES, GONE = "ok", "no", "unknown", "yes", "gone"


class Cell:
    """A cell of the matrix: one fault that is injected at one step.

    Attributes:
        proxy: The proxy.
        caller: The caller whose request the fault affects.
        fault: Name of the fault.
        is_injected: Whether the step was reached.
        tasks: Tasks that the fault has started.
    """

    def __init__(self, proxy, caller, fault):
        self.proxy = proxy
        self.caller = caller
        self.fault = fault
        self.is_injected = False
        self.tasks = []

    @property
    def session(self):
        (session,) = (s for s in self.proxy.sessions if s.identity.user == "booking")
        return session

    def inject(self):
        """Inject the fault, once."""
        if not self.is_injected:
            self.is_injected = True
            getattr(self, self.fault)()

    def upstream_lost(self):
        upstream = self.session.upstream
        name = PRIMARY if upstream is None else upstream.name
        self.proxy.standins.freeze(name)
        self.tasks.append(asyncio.create_task(self.proxy.standins.kill(name)))

    def connection_lost(self):
        if self.session.connection is not None:
            self.session.connection.close()

    def frozen(self):
        upstream = self.session.upstream
        self.proxy.standins.freeze(PRIMARY if upstream is None else upstream.name)

    def caller_gone(self):
        self.caller.abort()

    def cancelled(self):
        self.tasks.append(asyncio.create_task(self.cancel()))

    async def cancel(self):
        caller = await self.proxy.open_wire()
        session = self.session
        request = CancelRequest(
            process_id=session.number, secret_key=session.secret_key
        )
        caller.send(request.to_wire())
        await caller.read_to_end()


def inject_before(monkeypatch, cell, owner, name, condition=lambda *values: True):
    """Inject the fault before a method runs."""
    original = getattr(owner, name)

    def injecting(*values, **named):
        if condition(*values):
            cell.inject()
        return original(*values, **named)

    monkeypatch.setattr(owner, name, injecting)


def inject_after(monkeypatch, cell, owner, name, condition=lambda *values: True):
    """Inject the fault after a synchronous method has run."""
    original = getattr(owner, name)

    def injecting(*values, **named):
        result = original(*values, **named)
        if condition(*values):
            cell.inject()
        return result

    monkeypatch.setattr(owner, name, injecting)


def sends(text):
    return lambda connection, data: text.encode() in data


STEPS = {
    "connection taken": (inject_after, CallerSession, "hold_connection", None),
    "BEGIN": (inject_after, UpstreamConnection, "send", sends("BEGIN")),
    "statement sent": (inject_after, UpstreamConnection, "send", sends(REQUEST)),
    "read sent": (inject_after, UpstreamConnection, "send", sends(READ)),
    "answer half way": (
        inject_after,
        Relay,
        "process_message",
        lambda relay, message: message.kind == b"D",
    ),
    "COMMIT sent": (inject_after, UpstreamConnection, "send", sends("COMMIT")),
    "COMMIT answered": (inject_before, CallerSession, "read_query_result", None),
    "confirmation": (inject_before, upstream_steps, "acknowledge_write", None),
    "answer": (inject_before, CallerSession, "write_ready", None),
}


def arm_fault(monkeypatch, cell, step):
    """Arrange for the fault to be injected at a step."""
    if step == "queued":
        inject_before(
            monkeypatch, cell, ConnectionPool, "wait_for_grant", lambda *values: True
        )
        return
    inject_at, owner, name, condition = STEPS[step]
    inject_at(monkeypatch, cell, owner, name, condition or (lambda *values: True))


async def run_statements(caller, statements):
    """Run statements up to the first error; return the last frames."""
    frames = []
    for sql in statements:
        frames = await caller.query(sql)
        if "E" in join_kinds(frames):
            break
    return frames


async def observe(caller, statements):
    """Return the outcome reported to the caller and the frames of the last answer."""
    try:
        frames = await run_statements(caller, statements)
    except (ConnectionError, asyncio.IncompleteReadError):
        return GONE, []
    if "E" not in join_kinds(frames):
        return OK, frames
    detail = find_error(frames)[1]
    return detail.partition(" ")[0].removeprefix("ran=") or NO, frames


async def run_cell(monkeypatch, proxy, step, fault, statements):
    """Run one cell and repair the group afterwards."""
    caller = await proxy.start_wire()
    cell = Cell(proxy, caller, fault)
    held = []
    if step == "queued":
        held = await hold_all_connections(proxy)
    with monkeypatch.context() as patches:
        arm_fault(patches, cell, step)
        outcome, frames = await observe(caller, statements)
    assert cell.is_injected
    await asyncio.gather(*cell.tasks)
    for name in NAMES:
        proxy.standins.resume(name)
    for pool, connection in held:
        pool.release(connection)
    caller.abort()
    await wait_until(lambda: not proxy.sessions)
    await wait_until(lambda: not proxy.listener.cancels)
    return outcome, frames


async def hold_all_connections(proxy):
    """Acquire every connection of every pool."""
    held = []
    for upstream in proxy.group.upstreams.values():
        while len(upstream.pool.busy) < upstream.pool.limit:
            deadline_s = now_s() + 5.0
            connection = await upstream.pool.acquire("other", deadline_s)
            held.append((upstream.pool, connection))
    return held


def write_result(kind, step, fault, outcome, rows):
    """Append a line to the table of results, if one is requested."""
    path = os.environ.get("EBONYRACK_FAULT_TABLE")
    if path:
        with open(path, "a", encoding="utf-8") as table:
            table.write(f"| {kind} | {step} | {fault} | {outcome} | {rows} |\n")


def count_copies(proxy):
    """Count the upstreams whose log contains the booking."""
    return sum(proxy.count_rows(name, REQUEST) > 0 for name in NAMES)


FAULTS = ("upstream_lost", "connection_lost", "frozen", "caller_gone", "cancelled")
AUTOCOMMIT = (INSERT,)
TRANSACTION = ("BEGIN", INSERT, "COMMIT")
KEYED = ("SET ebonyrack.idempotency_key = 'k'", INSERT)
KEYED_TRANSACTION = (KEYED[0], *TRANSACTION)
# Outcomes that may be reported to the caller; the tests also check that they are true.
UNSENT = {"caller_gone": {GONE}, "cancelled": {OK, NO}}
SENT = {"caller_gone": {GONE}, "cancelled": {OK, NO, UNKNOWN}}
NOT_RUN = {"upstream_lost": {NO}, "connection_lost": {NO}, "frozen": {NO}, **UNSENT}
MAY_HAVE_RUN = {
    "upstream_lost": {UNKNOWN},
    "connection_lost": {UNKNOWN},
    "frozen": {UNKNOWN},
    **SENT,
}
# The position may have arrived together with the answer to the commit.
MAY_BE_CONFIRMED = {fault: allowed | {OK} for fault, allowed in MAY_HAVE_RUN.items()}
MAY_BE_CONFIRMED["caller_gone"] = {GONE}
COMMITTED = {
    "upstream_lost": {OK, UNKNOWN},
    "connection_lost": {OK},
    "frozen": {OK, UNKNOWN},
    **SENT,
}
ANSWERED = dict.fromkeys(FAULTS, {OK}) | {"caller_gone": {GONE}}
# The connection breaks between being acquired and being used: nothing was sent, or it
# was sent before the loss of the connection was known.
ACQUIRED = NOT_RUN | {"upstream_lost": {NO, UNKNOWN}, "frozen": {UNKNOWN}}
WRITE_CELLS = [
    ("write", AUTOCOMMIT, "queued", NOT_RUN | {"connection_lost": {NO, OK}}),
    ("write", AUTOCOMMIT, "connection taken", ACQUIRED),
    ("write", AUTOCOMMIT, "statement sent", MAY_HAVE_RUN),
    ("write", AUTOCOMMIT, "COMMIT answered", MAY_BE_CONFIRMED),
    ("write", AUTOCOMMIT, "confirmation", COMMITTED),
    ("write", AUTOCOMMIT, "answer", ANSWERED),
    ("transaction", TRANSACTION, "queued", NOT_RUN | {"connection_lost": {NO, OK}}),
    ("transaction", TRANSACTION, "connection taken", NOT_RUN),
    ("transaction", TRANSACTION, "BEGIN", NOT_RUN),
    ("transaction", TRANSACTION, "statement sent", NOT_RUN),
    ("transaction", TRANSACTION, "COMMIT sent", MAY_HAVE_RUN),
    ("transaction", TRANSACTION, "COMMIT answered", MAY_BE_CONFIRMED),
    ("transaction", TRANSACTION, "confirmation", COMMITTED),
    ("keyed write", KEYED, "queued", NOT_RUN | {"connection_lost": {NO, OK}}),
    ("keyed write", KEYED, "connection taken", NOT_RUN),
    ("keyed write", KEYED, "BEGIN", NOT_RUN),
    ("keyed write", KEYED, "statement sent", NOT_RUN),
    ("keyed write", KEYED, "COMMIT sent", MAY_HAVE_RUN),
    ("keyed write", KEYED, "COMMIT answered", MAY_BE_CONFIRMED),
    ("keyed write", KEYED, "confirmation", COMMITTED),
    ("keyed transaction", KEYED_TRANSACTION, "COMMIT sent", MAY_HAVE_RUN),
    ("keyed transaction", KEYED_TRANSACTION, "COMMIT answered", MAY_BE_CONFIRMED),
]


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize(("kind", "statements", "step", "allowed"), WRITE_CELLS)
async def test_write_with_fault(monkeypatch, kind, statements, step, allowed, fault):
    async with open_proxy(limit=2, **LIMITS) as proxy:
        outcome, _ = await run_cell(monkeypatch, proxy, step, fault, statements)
        rows = proxy.count_rows(PRIMARY, REQUEST)
        write_result(kind, step, fault, outcome, rows)
        assert outcome in allowed[fault]
        assert rows <= 1
        if outcome == NO:
            assert rows == 0
        if outcome == OK:
            assert count_copies(proxy) >= proxy.group.majority
        for upstream in proxy.group.upstreams.values():
            assert not upstream.pool.busy
        if proxy.standins[PRIMARY].is_running:
            await check_next_caller(proxy, rows)


async def check_next_caller(proxy, rows):
    """Check that another caller sees nothing of the request but its committed rows."""
    await wait_until(lambda: proxy.group.primary() is not None)
    caller = await proxy.start_wire()
    frames = await caller.query(INSERT.replace(REQUEST, "the-next"))
    assert join_kinds(frames) == "CSZ"
    # A late rollback has finished by the time a later write has committed.
    assert proxy.count_rows(PRIMARY, REQUEST) == rows
    frames = await caller.query(READ)
    assert join_kinds(frames).count("D") == rows + 1


READ_CELLS = [
    ("queued", dict.fromkeys(FAULTS, {NO}) | {"caller_gone": {GONE}}),
    ("connection taken", {"caller_gone": {GONE}, "cancelled": {OK, NO}}),
    ("read sent", {"caller_gone": {GONE}, "cancelled": {OK, NO}}),
    ("answer half way", {"caller_gone": {GONE}, "cancelled": {OK, NO}}),
    ("answer", {"caller_gone": {GONE}}),
]


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize(("step", "allowed"), READ_CELLS)
@pytest.mark.parametrize("row_bytes", [10, 20_000])
async def test_read_with_fault(monkeypatch, step, allowed, fault, row_bytes):
    """A short answer is retried; part of a long one has already been sent."""
    async with open_proxy(limit=3, **LIMITS) as proxy:
        caller = await proxy.start_wire()
        for number in range(SEEDED_ROWS):
            await caller.query(INSERT.replace(REQUEST, f"{number:0{row_bytes}}"))
        caller.abort()
        await wait_until(lambda: not proxy.sessions)
        outcome, frames = await run_cell(monkeypatch, proxy, step, fault, (READ,))
        rows = join_kinds(frames).count("D")
        write_result(f"read of {row_bytes} bytes a row", step, fault, outcome, rows)
        is_long = step == "answer half way" and row_bytes > SHORT_ROW_BYTES
        assert outcome in allowed.get(fault, {NO, OK} if is_long else {OK})
        if is_long and fault == "connection_lost":
            assert outcome == NO
        # An incomplete answer never looks complete, and no row is sent twice.
        assert ("C" in join_kinds(frames)) == (outcome == OK)
        assert rows <= SEEDED_ROWS
        if outcome == OK:
            assert rows == SEEDED_ROWS
        for upstream in proxy.group.upstreams.values():
            assert not upstream.pool.busy
