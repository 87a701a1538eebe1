"""Every fault at every step of a write and of a read, on the callers' side.

With EBONYRACK_FAULT_TABLE set to a file, each cell adds a line of its outcome.
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
    """One fault at one step, and what came of it.

    Attributes:
        proxy: The proxy.
        caller: The caller whose request meets the fault.
        fault: Name of the fault.
        is_injected: Whether the step was reached.
        tasks: What the fault goes on doing.
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
        """Bring the fault about, once."""
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
    """Let the fault strike before a method runs."""
    original = getattr(owner, name)

    def injecting(*values, **named):
        if condition(*values):
            cell.inject()
        return original(*values, **named)

    monkeypatch.setattr(owner, name, injecting)


def inject_after(monkeypatch, cell, owner, name, condition=lambda *values: True):
    """Let the fault strike after a plain method has run."""
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
    """Make the fault strike at a step."""
    if step == "queued":
        inject_before(
            monkeypatch, cell, ConnectionPool, "wait_for_grant", lambda *values: True
        )
        return
    how, owner, name, condition = STEPS[step]
    how(monkeypatch, cell, owner, name, condition or (lambda *values: True))


async def run_statements(caller, statements):
    """Run statements up to the first error; return the last frames."""
    frames = []
    for sql in statements:
        frames = await caller.query(sql)
        if "E" in join_kinds(frames):
            break
    return frames


async def observe(caller, statements):
    """Return what the caller was told and the frames of the last answer."""
    try:
        frames = await run_statements(caller, statements)
    except (ConnectionError, asyncio.IncompleteReadError):
        return GONE, []
    if "E" not in join_kinds(frames):
        return OK, frames
    detail = find_error(frames)[1]
    return detail.partition(" ")[0].removeprefix("ran=") or NO, frames


async def run_cell(monkeypatch, proxy, step, fault, statements):
    """Run one cell and mend the group."""
    caller = await proxy.start_wire()
    cell = Cell(proxy, caller, fault)
    holders = []
    if step == "queued":
        holders = await hold_all_connections(proxy)
    with monkeypatch.context() as patches:
        arm_fault(patches, cell, step)
        outcome, frames = await observe(caller, statements)
    assert cell.is_injected
    await asyncio.gather(*cell.tasks)
    for name in NAMES:
        proxy.standins.resume(name)
    for pool, connection in holders:
        pool.release(connection)
    caller.abort()
    await wait_until(lambda: not proxy.sessions)
    await wait_until(lambda: not proxy.listener.cancels)
    return outcome, frames


async def hold_all_connections(proxy):
    """Occupy every connection of every pool."""
    places = []
    for upstream in proxy.group.upstreams.values():
        while len(upstream.pool.busy) < upstream.pool.limit:
            deadline_s = now_s() + 5.0
            connection = await upstream.pool.acquire("other", deadline_s)
            places.append((upstream.pool, connection))
    return places


def write_result(kind, step, fault, outcome, rows):
    """Add a line to the table of results, if one is asked for."""
    path = os.environ.get("EBONYRACK_FAULT_TABLE")
    if path:
        with open(path, "a", encoding="utf-8") as table:
            table.write(f"| {kind} | {step} | {fault} | {outcome} | {rows} |\n")


def count_majority(proxy):
    """Count upstreams whose log has the booking."""
    return sum(proxy.count_rows(name, REQUEST) > 0 for name in NAMES)


FAULTS = ("upstream_lost", "connection_lost", "frozen", "caller_gone", "cancelled")
LONE = (INSERT,)
TRANSACTION = ("BEGIN", INSERT, "COMMIT")
KEYED = ("SET ebonyrack.idempotency_key = 'k'", INSERT)
KEYED_TRANSACTION = (KEYED[0], *TRANSACTION)
# What a caller may be told; whether it is true is checked beside it.
BEFORE = {"caller_gone": {GONE}, "cancelled": {OK, NO}}
SENT = {"caller_gone": {GONE}, "cancelled": {OK, NO, UNKNOWN}}
NOT_RUN = {"upstream_lost": {NO}, "connection_lost": {NO}, "frozen": {NO}, **BEFORE}
UNSURE = {
    "upstream_lost": {UNKNOWN},
    "connection_lost": {UNKNOWN},
    "frozen": {UNKNOWN},
    **SENT,
}
# The position may have arrived together with the answer to the commit.
SETTLED = {fault: allowed | {OK} for fault, allowed in UNSURE.items()}
SETTLED["caller_gone"] = {GONE}
LATE = {
    "upstream_lost": {OK, UNKNOWN},
    "connection_lost": {OK},
    "frozen": {OK, UNKNOWN},
    **SENT,
}
WHOLE = dict.fromkeys(FAULTS, {OK}) | {"caller_gone": {GONE}}
# A connection that breaks between being taken and being used: nothing was sent, or
# it went into a connection whose end was not known yet.
TAKEN = NOT_RUN | {"upstream_lost": {NO, UNKNOWN}, "frozen": {UNKNOWN}}
WRITE_CELLS = [
    ("write", LONE, "queued", NOT_RUN | {"connection_lost": {NO, OK}}),
    ("write", LONE, "connection taken", TAKEN),
    ("write", LONE, "statement sent", UNSURE),
    ("write", LONE, "COMMIT answered", SETTLED),
    ("write", LONE, "confirmation", LATE),
    ("write", LONE, "answer", WHOLE),
    ("transaction", TRANSACTION, "queued", NOT_RUN | {"connection_lost": {NO, OK}}),
    ("transaction", TRANSACTION, "connection taken", NOT_RUN),
    ("transaction", TRANSACTION, "BEGIN", NOT_RUN),
    ("transaction", TRANSACTION, "statement sent", NOT_RUN),
    ("transaction", TRANSACTION, "COMMIT sent", UNSURE),
    ("transaction", TRANSACTION, "COMMIT answered", SETTLED),
    ("transaction", TRANSACTION, "confirmation", LATE),
    ("keyed write", KEYED, "queued", NOT_RUN | {"connection_lost": {NO, OK}}),
    ("keyed write", KEYED, "connection taken", NOT_RUN),
    ("keyed write", KEYED, "BEGIN", NOT_RUN),
    ("keyed write", KEYED, "statement sent", NOT_RUN),
    ("keyed write", KEYED, "COMMIT sent", UNSURE),
    ("keyed write", KEYED, "COMMIT answered", SETTLED),
    ("keyed write", KEYED, "confirmation", LATE),
    ("keyed transaction", KEYED_TRANSACTION, "COMMIT sent", UNSURE),
    ("keyed transaction", KEYED_TRANSACTION, "COMMIT answered", SETTLED),
]


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize(("kind", "statements", "step", "allowed"), WRITE_CELLS)
async def test_a_write(monkeypatch, kind, statements, step, allowed, fault):
    async with open_proxy(limit=2, **LIMITS) as proxy:
        outcome, _ = await run_cell(monkeypatch, proxy, step, fault, statements)
        rows = proxy.count_rows(PRIMARY, REQUEST)
        write_result(kind, step, fault, outcome, rows)
        assert outcome in allowed[fault]
        assert rows <= 1
        if outcome == NO:
            assert rows == 0
        if outcome == OK:
            assert count_majority(proxy) >= proxy.group.majority
        for upstream in proxy.group.upstreams.values():
            assert not upstream.pool.busy
        if proxy.standins[PRIMARY].is_running:
            await check_next_caller(proxy, rows)


async def check_next_caller(proxy, rows):
    """Another caller finds no trace of the request but its committed rows."""
    await wait_until(lambda: proxy.group.primary() is not None)
    caller = await proxy.start_wire()
    frames = await caller.query(INSERT.replace(REQUEST, "the-next"))
    assert join_kinds(frames) == "CSZ"
    # What was rolled back late has left by the time a later write has committed.
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
async def test_a_read(monkeypatch, step, allowed, fault, row_bytes):
    """A short answer is tried again; a long one has partly gone to the caller."""
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
        # A short answer never looks whole, and no answer is given twice.
        assert ("C" in join_kinds(frames)) == (outcome == OK)
        assert rows <= SEEDED_ROWS
        if outcome == OK:
            assert rows == SEEDED_ROWS
        for upstream in proxy.group.upstreams.values():
            assert not upstream.pool.busy
