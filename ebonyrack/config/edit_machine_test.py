"""State machine test: accepted edits take effect and never revert."""

import asyncio
import sys
from dataclasses import replace

import hypothesis.strategies as st
import pytest
from hypothesis import Phase
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import run_state_machine_as_test
from loguru import logger

from ebonyrack.config import edit_attempt
from ebonyrack.config.document import Document
from ebonyrack.config.edit import Accepted
from ebonyrack.config.edit import NotAccepted
from ebonyrack.config.edit import Refused
from ebonyrack.config.edit import Unknown
from ebonyrack.config.edit import build_edit
from ebonyrack.config.edit_attempt import EditAttempt
from ebonyrack.config.edit_test import TEXT
from ebonyrack.config.edit_test import FakeStore
from ebonyrack.config.edit_test import LateSwap
from ebonyrack.config.state import ConfigurationState
from ebonyrack.config.stored import EMPTY_STORED
from ebonyrack.config.stored import StoredDocument
from ebonyrack.config.text import apply_changes
from ebonyrack.core.clock import now_s

PROXIES = 3
LIMIT_S = 600.0
RUNNING_LIMIT = 3
FAULTS = ["ok", "ok", "ok", "lost", "late", "dropped", "down", "stale", "time"]
SCRIPTS = st.one_of(
    st.lists(st.sampled_from(FAULTS), max_size=4),
    st.tuples(
        st.just("ok"),
        st.sampled_from(["lost", "late", "dropped"]),
        st.sampled_from(["time", "ok", "down"]),
        st.sampled_from(["time", "ok"]),
    ),
)
OWNERS = {"booking": "ben", "calendar": "ada"}


class PausingStore(FakeStore):
    """A store whose calls block until the state machine answers them."""

    def __init__(self):
        super().__init__()
        self.waiting = []

    async def get(self, key):
        return self.answer_get(await self.wait())

    async def compare_and_swap(self, key, value, index):
        try:
            return self.answer_swap(await self.wait(), value, index)
        except asyncio.CancelledError:
            self.late.append(LateSwap(value, index))
            raise

    async def wait(self):
        future = asyncio.get_running_loop().create_future()
        self.waiting.append(future)
        try:
            return await future
        finally:
            self.waiting.remove(future)


class EditMachine(RuleBasedStateMachine):
    """Runs operators, proxies and a store one step at a time."""

    @initialize()
    def start(self):
        self.loop = asyncio.new_event_loop()
        self.store = PausingStore()
        self.proxies = [ConfigurationState() for _ in range(PROXIES)]
        self.highest = [0] * PROXIES
        self.running = {}
        self.edits = {}
        self.unknown = []
        self.refused = set()
        self.accepted = {}
        self.begin(0, build_edit("first", "ada", EMPTY_STORED, TEXT))
        self.answer(0, "ok")
        self.answer(0, "ok")

    def teardown(self):
        for task in self.running.values():
            task.cancel()
        self.loop.run_until_complete(self.drain_event_loop())
        self.loop.close()

    async def drain_event_loop(self):
        for _ in range(12):
            await asyncio.sleep(0)

    def begin(self, proxy, edit):
        self.edits[edit.edit_id] = edit
        attempt = EditAttempt(self.store, self.proxies[proxy], edit, now_s() + LIMIT_S)
        self.running[edit.edit_id] = self.loop.create_task(attempt.run())
        self.loop.run_until_complete(self.drain_event_loop())
        self.collect()

    def collect(self):
        for edit_id, task in list(self.running.items()):
            if task.done():
                del self.running[edit_id]
                self.record_outcome(edit_id, task)

    def record_outcome(self, edit_id, task):
        outcome = Unknown(edit_id, "killed") if task.cancelled() else task.result()
        if isinstance(outcome, Accepted):
            assert self.accepted.setdefault(edit_id, outcome.revision) == (
                outcome.revision
            )
        elif isinstance(outcome, Unknown):
            self.unknown.append(edit_id)
        else:
            assert isinstance(outcome, Refused | NotAccepted)
            self.refused.add(edit_id)

    @precondition(lambda self: len(self.running) < RUNNING_LIMIT)
    @rule(
        proxy=st.integers(0, PROXIES - 1),
        section=st.sampled_from(sorted(OWNERS)),
        value=st.integers(0, 99),
        faults=SCRIPTS,
    )
    def edit(self, proxy, section, value, faults):
        base = self.proxies[proxy].stored
        lines = base.text.splitlines(keepends=True)
        wanted = "".join(
            f"user = {section}-{value}\n"
            if line.startswith(f"user = {section}")
            else line
            for line in lines
        )
        if wanted == base.text:
            return
        edit_id = f"edit-{len(self.edits)}"
        self.begin(proxy, build_edit(edit_id, OWNERS[section], base, wanted))
        self.answer_newest(faults)

    def answer_newest(self, faults):
        for fault in faults:
            if self.store.waiting:
                self.answer(len(self.store.waiting) - 1, fault)

    @precondition(lambda self: self.unknown and len(self.running) < RUNNING_LIMIT)
    @rule(
        proxy=st.integers(0, PROXIES - 1),
        faults=st.one_of(SCRIPTS, st.just(("time",))),
        data=st.data(),
    )
    def repeat(self, proxy, faults, data):
        edit_id = data.draw(st.sampled_from(self.unknown))
        self.unknown.remove(edit_id)
        self.begin(proxy, replace(self.edits[edit_id], is_repeat=True))
        self.answer_newest(faults)

    @precondition(lambda self: self.store.waiting)
    @rule()
    def answer_all(self):
        for _ in range(4 * len(self.store.waiting)):
            if self.store.waiting:
                self.answer(0, "ok")

    @precondition(lambda self: self.store.waiting)
    @rule(number=st.integers(0, 5), fault=st.sampled_from(FAULTS))
    def answer(self, number, fault):
        waiting = self.store.waiting[number % len(self.store.waiting)]
        waiting.set_result(fault)
        self.loop.run_until_complete(self.drain_event_loop())
        self.collect()

    @precondition(lambda self: self.running)
    @rule(data=st.data())
    def kill_proxy(self, data):
        edit_id = data.draw(st.sampled_from(sorted(self.running)))
        self.running[edit_id].cancel()
        self.loop.run_until_complete(self.drain_event_loop())
        self.collect()

    @rule()
    def land_late_swaps(self):
        self.store.apply_late_swaps()

    @rule(origin=st.integers(0, PROXIES - 1), receiver=st.integers(0, PROXIES - 1))
    def pass_on(self, origin, receiver):
        self.proxies[receiver].apply_if_newer(self.proxies[origin].stored, "peer")

    @precondition(lambda self: self.store.log)
    @rule(receiver=st.integers(0, PROXIES - 1), number=st.integers(0, 9))
    def watch(self, receiver, number):
        log = self.store.log
        self.proxies[receiver].apply_bytes_if_newer(log[number % len(log)], "store")

    @rule(proxy=st.integers(0, PROXIES - 1))
    def restart(self, proxy):
        self.proxies[proxy] = ConfigurationState()
        self.highest[proxy] = 0

    @invariant()
    def revisions_never_decrease(self):
        if not hasattr(self, "proxies"):
            return
        for number, state in enumerate(self.proxies):
            assert state.revision >= self.highest[number]
            self.highest[number] = state.revision

    @invariant()
    def every_edit_is_applied_once_and_none_is_lost(self):
        if not hasattr(self, "store"):
            return
        before = EMPTY_STORED
        applied = []
        for document in self.store.documents:
            assert document.revision == before.revision + 1
            record = document.history[-1]
            changes = self.edits[record.edit_id].changes
            assert document.text == apply_changes(before.text, changes)
            applied.append(record.edit_id)
            before = document
        assert len(applied) == len(set(applied))
        assert not self.refused & set(applied)
        for edit_id, revision in self.accepted.items():
            assert applied[revision - 1] == edit_id

    @invariant()
    def proxies_run_accepted_revisions(self):
        for state in getattr(self, "proxies", []):
            if state.revision:
                assert state.stored == self.store.documents[state.revision - 1]


MACHINE_SETTINGS = settings(
    max_examples=250,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    phases=[Phase.generate],
)


def put_without_comparing(store, value, index):
    store.log.append(value)
    store.index += 1
    return True


def accept_lower_revision(state, stored, source):
    state.stored = stored
    state.document = Document(stored.revision, stored.text)
    return True


edit_machine = sys.modules[__name__]
SAFEGUARDS = {
    "swap without compare": (FakeStore, "write", put_without_comparing),
    "lower revision accepted": (
        ConfigurationState,
        "apply_if_newer",
        accept_lower_revision,
    ),
    "edit identity ignored": (StoredDocument, "find_edit", lambda *_: None),
    "lost swap forgotten": (
        EditAttempt,
        "build_timeout_outcome",
        lambda attempt: NotAccepted(attempt.reason),
    ),
    "repeat treated as a first attempt": (
        edit_machine,
        "replace",
        lambda edit, is_repeat: edit,
    ),
}


@pytest.fixture(autouse=True)
def no_backoff(monkeypatch):
    logger.disable("ebonyrack.config")
    monkeypatch.setattr(edit_attempt, "FIRST_BACKOFF_S", 0.0)
    yield
    logger.enable("ebonyrack.config")


def test_accepted_edits_take_effect_and_never_revert():
    run_state_machine_as_test(EditMachine, settings=MACHINE_SETTINGS)


@pytest.mark.parametrize("name", SAFEGUARDS)
def test_state_machine_detects_a_missing_safeguard(name, monkeypatch):
    monkeypatch.setattr(*SAFEGUARDS[name])
    with pytest.raises(Exception) as caught:
        run_state_machine_as_test(EditMachine, settings=MACHINE_SETTINGS)
    assert isinstance(caught.value, AssertionError | ExceptionGroup | IndexError)
