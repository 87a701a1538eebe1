import asyncio
from collections import deque
from dataclasses import dataclass
from dataclasses import replace

import pytest
from result import Err
from result import Ok

from ebonyrack.config import edit_attempt
from ebonyrack.config.edit import Accepted
from ebonyrack.config.edit import NotAccepted
from ebonyrack.config.edit import Refused
from ebonyrack.config.edit import Unknown
from ebonyrack.config.edit import build_edit
from ebonyrack.config.edit_attempt import EditAttempt
from ebonyrack.config.state import ConfigurationState
from ebonyrack.config.stored import EMPTY_STORED
from ebonyrack.config.stored import EditRecord
from ebonyrack.config.stored import StoredDocument
from ebonyrack.config.stored import pack_stored
from ebonyrack.config.stored import unpack_stored
from ebonyrack.config.text import apply_changes
from ebonyrack.config.text import find_changes
from ebonyrack.core.clock import now_s
from ebonyrack.store.store_response import StoreError
from ebonyrack.store.store_response import StoreErrorKind
from ebonyrack.store.store_response import StoreValue

TEXT = """# The document of the tests.
[operator ada]
acts_for = administrators
[operator ben]
acts_for = booking
[group a]
owner = databases
upstreams = up-1=127.0.2.1:5432@bangkok-1
[application booking]
owner = booking
user = booking
verifier = none
groups = a
[application calendar]
owner = calendars
user = calendar
verifier = none
groups = a
"""


@dataclass
class LateSwap:
    """A swap whose answer was lost and that may still take effect."""

    value: bytes
    index: int


class FakeStore:
    """In-memory store whose calls fail according to a script.

    Each entry of the script is for one call: `ok`, `down` (not sent), `lost` (takes
    effect, no answer), `dropped` (no effect, no answer), `late` (takes effect when
    `apply_late_swaps` is called, no answer), `stale` (a read of the first value),
    `time` (the deadline passes).
    """

    def __init__(self, script=()):
        self.log = []
        self.index = 10
        self.script = deque(script)
        self.late = []
        self.before_swap = None

    @property
    def documents(self):
        return [unpack_stored(value) for value in self.log]

    def read(self, number=-1):
        if not self.log:
            return None
        position = len(self.log) - 1 if number == -1 else number
        return StoreValue(self.log[position], self.index - len(self.log) + 1 + position)

    def write(self, value, index):
        expected = self.index if self.log else 0
        if index != expected:
            return False
        self.log.append(value)
        self.index += 1
        return True

    def apply_late_swaps(self):
        while self.late:
            swap = self.late.pop()
            self.write(swap.value, swap.index)

    def next_fault(self):
        return self.script.popleft() if self.script else "ok"

    async def get(self, key):
        return self.answer_get(self.next_fault())

    def answer_get(self, fault):
        if fault in ("down", "lost", "dropped", "late"):
            kind = "unreachable" if fault == "down" else "unknown"
            return Err(StoreError(StoreErrorKind(kind), fault))
        if fault == "time":
            raise TimeoutError
        return Ok(self.read(0) if fault == "stale" else self.read())

    async def compare_and_swap(self, key, value, index):
        if self.before_swap is not None:
            run, self.before_swap = self.before_swap, None
            await run()
        return self.answer_swap(self.next_fault(), value, index)

    def answer_swap(self, fault, value, index):
        if fault == "down":
            return Err(StoreError(StoreErrorKind.UNREACHABLE, fault))
        if fault == "time":
            raise TimeoutError
        if fault == "late":
            self.late.append(LateSwap(value, index))
        elif fault == "lost":
            self.write(value, index)
        if fault in ("late", "lost", "dropped"):
            return Err(StoreError(StoreErrorKind.UNKNOWN, fault))
        return Ok(self.write(value, index))


@pytest.fixture(autouse=True)
def no_backoff(monkeypatch):
    monkeypatch.setattr(edit_attempt, "FIRST_BACKOFF_S", 0.0)


def create_store(script=()):
    store = FakeStore()
    store.index = 10
    stored = StoredDocument(1, TEXT, ())
    store.log.append(pack_stored(stored))
    store.script.extend(script)
    state = ConfigurationState()
    assert state.apply_if_newer(stored, "test")
    return store, state


def change(state, old, new, operator="ada", edit_id="edit-1"):
    wanted = state.stored.text.replace(old, new)
    return build_edit(edit_id, operator, state.stored, wanted)


async def apply(store, state, edit):
    async with asyncio.timeout(10):
        return await EditAttempt(store, state, edit, now_s() + 5).run()


async def test_first_document_is_accepted_into_an_empty_store():
    store, state = FakeStore(), ConfigurationState()
    edit = build_edit("first", "ada", EMPTY_STORED, TEXT)
    assert await apply(store, state, edit) == Accepted(1)
    assert state.stored.text == TEXT


async def test_concurrent_edits_of_different_sections_are_merged():
    store, state = create_store()
    first = change(state, "user = booking", "user = bookings", "ben", "e-1")
    second = change(state, "user = calendar", "user = calendars", "ada", "e-2")
    assert await apply(store, state, first) == Accepted(2)
    assert await apply(store, state, second) == Accepted(3)
    assert "user = bookings\n" in state.stored.text
    assert "user = calendars\n" in state.stored.text


async def test_concurrent_edit_of_the_same_section_is_refused_with_a_diff():
    store, state = create_store()
    first = change(state, "user = booking", "user = one", "ben", "e-1")
    second = change(state, "user = booking", "user = two", "ada", "e-2")
    assert await apply(store, state, first) == Accepted(2)
    outcome = await apply(store, state, second)
    assert isinstance(outcome, Refused)
    assert "-user = two\n+user = one\n" in outcome.difference
    assert len(store.log) == 2


@pytest.mark.parametrize(
    "old, new",
    [
        ("user = calendar", "user = other"),
        ("owner = calendars", "owner = booking"),
        ("owner = booking", "owner = calendars"),
        ("acts_for = booking", "acts_for = administrators"),
        ("# The document", "# A document"),
        ("[application calendar]", "[application other]"),
    ],
)
async def test_operator_may_change_only_owned_sections(old, new):
    store, state = create_store()
    outcome = await apply(store, state, change(state, old, new, "ben"))
    assert isinstance(outcome, Refused)
    assert len(store.log) == 1


async def test_edit_of_an_unknown_operator_is_refused():
    store, state = create_store()
    edit = change(state, "user = booking", "user = x", "eve")
    assert isinstance(await apply(store, state, edit), Refused)


async def test_refusal_lists_all_errors_of_the_merged_document():
    store, state = create_store()
    outcome = await apply(store, state, change(state, "groups = a", "groups = b"))
    assert isinstance(outcome, Refused)
    assert len(outcome.reasons) == 2


@pytest.mark.parametrize(
    "script, expected",
    [
        (["down", "ok", "ok"], Accepted),
        (["dropped", "ok", "ok"], Accepted),
        (["stale", "ok"], Accepted),
        (["ok", "down", "ok", "ok"], Accepted),
        (["ok", "lost", "ok"], Accepted),
        (["ok", "lost", "down", "stale", "ok"], Accepted),
        (["ok", "dropped", "ok", "ok"], Accepted),
        (["ok", "dropped", "ok", "down", "ok", "ok"], Accepted),
        (["ok", "late", "ok", "ok"], Accepted),
        (["down", "time"], NotAccepted),
        (["ok", "down", "time"], NotAccepted),
        (["ok", "lost", "time"], Unknown),
        (["ok", "dropped", "time"], Unknown),
        (["ok", "late", "down", "time"], Unknown),
        (["ok", "late", "ok", "down", "time"], Unknown),
    ],
)
async def test_outcome_is_correct_for_each_fault_at_each_step(script, expected):
    store, state = create_store(script)
    edit = change(state, "user = booking", "user = new")
    outcome = await apply(store, state, edit)
    assert isinstance(outcome, expected)
    is_recorded = store.documents[-1].find_edit("edit-1") is not None
    if isinstance(outcome, Accepted):
        assert is_recorded
        assert state.revision == outcome.revision
    if isinstance(outcome, NotAccepted):
        assert not is_recorded
    store.apply_late_swaps()
    # The operator repeats the edit with the same identity.
    repeated = await apply(store, state, replace(edit, is_repeat=True))
    assert isinstance(repeated, Accepted)
    ids = [record.edit_id for record in store.documents[-1].history]
    assert ids == ["edit-1"]


async def test_a_repeat_without_an_answer_stays_unknown():
    store, state = create_store(["ok", "lost", "time", "down", "time"])
    edit = change(state, "user = booking", "user = new")
    assert isinstance(await apply(store, state, edit), Unknown)
    repeated = await apply(store, state, replace(edit, is_repeat=True))
    assert isinstance(repeated, Unknown)


async def test_edit_accepted_between_read_and_swap_is_merged():
    store, state = create_store()
    rival_state = ConfigurationState()
    rival_state.apply_if_newer(state.stored, "test")
    rival = change(state, "user = calendar", "user = rival", edit_id="rival")

    async def interfere():
        assert await apply(store, rival_state, rival) == Accepted(2)

    store.before_swap = interfere
    outcome = await apply(store, state, change(state, "user = booking", "user = own"))
    assert outcome == Accepted(3)
    assert "user = rival\n" in state.stored.text


async def test_lost_swap_is_resolved_when_another_edit_is_accepted():
    store, state = create_store(["ok", "late"])
    rival_state = ConfigurationState()
    rival_state.apply_if_newer(state.stored, "test")
    rival = change(state, "user = booking", "user = rival", edit_id="rival")
    edit = change(state, "user = booking", "user = own")
    attempt = EditAttempt(store, state, edit, now_s() + 5)
    assert await attempt.attempt_once() is None
    assert attempt.pending_index == 10
    assert await apply(store, rival_state, rival) == Accepted(2)
    assert isinstance(await attempt.run(), Refused)
    store.apply_late_swaps()
    assert store.documents[-1].find_edit("edit-1") is None


async def test_edit_is_not_accepted_while_the_store_is_stale():
    store, state = create_store()
    newer = StoredDocument(5, TEXT, ())
    state.apply_if_newer(newer, "peer")
    edit = change(state, "user = booking", "user = own")
    outcome = await EditAttempt(store, state, edit, now_s() + 0.2).run()
    assert isinstance(outcome, NotAccepted)
    assert len(store.log) == 1


async def test_outcome_of_a_repeat_older_than_the_history_is_unknown():
    store, state = create_store()
    edit = change(state, "user = booking", "user = own")
    record = EditRecord(9, "other", "ada", 0, ())
    newest = StoredDocument(9, TEXT, (record,))
    store.write(pack_stored(newest), 10)
    assert isinstance(await apply(store, state, edit), Unknown)


def test_applying_the_found_changes_yields_the_wanted_text():
    wanted = TEXT.replace("user = booking", "user = x").replace("# The", "# A")
    changes = find_changes(TEXT, wanted)
    assert set(changes) == {"", "application booking"}
    assert apply_changes(TEXT, changes) == wanted
    removed = wanted[: wanted.index("[application calendar]")]
    assert apply_changes(TEXT, find_changes(TEXT, removed)) == removed
