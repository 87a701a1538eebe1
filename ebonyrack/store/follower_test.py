import asyncio

from result import Err
from result import Ok

from ebonyrack.store.follower import FollowOptions
from ebonyrack.store.follower import StoreAvailability
from ebonyrack.store.follower import StoreFollower
from ebonyrack.store.leasing_store import StoreChanges
from ebonyrack.store.store_response import StoreError
from ebonyrack.store.store_response import StoreErrorKind

REFUSED = Err(StoreError(StoreErrorKind.REFUSED, "busy"))


class FakeStore:
    """Answers reads and watches as the test says."""

    def __init__(self):
        self.answers = []
        self.calls = []

    async def read_prefix(self, prefix, allow_stale=False):
        self.calls.append("read")
        return await self.answer()

    async def watch_prefix(self, prefix, revision, wait_s):
        self.calls.append(f"watch {revision}")
        return await self.answer()

    async def answer(self):
        if self.answers:
            return self.answers.pop(0)
        await asyncio.Event().wait()


def build_follower(store, plan, availability, probes_store=False):
    seen = []

    async def apply(changes):
        seen.append(changes.revision)

    follower = StoreFollower(
        store, plan, apply, lambda: False, availability, probes_store
    )
    return follower, seen


async def follow(follower, until):
    async with follower:
        async with asyncio.timeout(5):
            while not until():
                await asyncio.sleep(0.01)


async def test_a_watch_goes_on_from_what_was_read_and_reads_anew_after_lost_history():
    store = FakeStore()
    whole = Ok(StoreChanges((), (), 7, is_complete=True))
    store.answers = [whole, Ok(StoreChanges((), (), 9)), Ok(None), whole]
    plan = FollowOptions("op/", watch_s=1.0, pause_s=0.0)
    follower, seen = build_follower(store, plan, StoreAvailability())
    await follow(follower, lambda: len(store.calls) == 5)
    assert store.calls == ["read", "watch 7", "watch 9", "read", "watch 7"]
    assert seen == [7, 9, 7]


async def test_a_watch_that_is_cut_goes_on_at_once_while_the_store_answers():
    store = FakeStore()
    store.answers = [Ok(StoreChanges((), (), 7)), REFUSED, Ok(StoreChanges((), (), 8))]
    availability = StoreAvailability()
    availability.record_available()
    plan = FollowOptions("op/", watch_s=1.0, pause_s=0.0)
    follower, seen = build_follower(store, plan, availability)
    started_s = asyncio.get_running_loop().time()
    await follow(follower, lambda: seen == [7, 8])
    assert asyncio.get_running_loop().time() - started_s < 0.5
    assert availability.available_since_s is not None


async def test_after_a_watch_was_cut_all_is_read_anew():
    # A watch that is made anew right after the cut, before the store drops its
    # history, hears of nothing that was changed before.
    store = FakeStore()
    whole = Ok(StoreChanges((), (), 7, is_complete=True))
    store.answers = [whole, REFUSED, whole]
    availability = StoreAvailability()
    availability.record_available()
    plan = FollowOptions("op/", watch_s=1.0, pause_s=0.0)
    follower, _ = build_follower(store, plan, availability)
    await follow(follower, lambda: len(store.calls) == 4)
    assert store.calls == ["read", "watch 7", "read", "watch 7"]


async def test_one_follower_asks_on_for_all_while_the_store_is_lost():
    store = FakeStore()
    store.answers = [REFUSED] * 3
    availability = StoreAvailability()
    follower, _ = build_follower(store, FollowOptions("op/", watch_s=1.0), availability)
    async with follower:
        await asyncio.sleep(0.5)
        assert len(store.calls) == 1
        availability.record_available()
        await asyncio.sleep(0.05)
        assert len(store.calls) == 2


async def test_the_one_that_asks_does_so_at_once_when_a_call_of_another_has_failed():
    # The store is stopped right after the entries were read; they are read again
    # 3 s later, while callers wait to be let go.
    asking, watching, availability = FakeStore(), FakeStore(), StoreAvailability()
    asking.answers = [Ok(StoreChanges((), (), 7, is_complete=True)), REFUSED]
    entries, _ = build_follower(
        asking, FollowOptions("in/", pause_s=60.0), availability, True
    )
    routes, _ = build_follower(
        watching, FollowOptions("op/", watch_s=1.0), availability
    )
    async with entries:
        await asyncio.sleep(0.05)
        assert availability.unavailable_since_s is None
        watching.answers = [REFUSED]
        await follow(routes, lambda: availability.unavailable_since_s is not None)
