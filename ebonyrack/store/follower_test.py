import asyncio

from result import Err
from result import Ok

from ebonyrack.core.clock import now_s
from ebonyrack.store.follower import FollowOptions
from ebonyrack.store.follower import StoreAvailability
from ebonyrack.store.follower import StoreFollower
from ebonyrack.store.leasing_store import StoreChanges
from ebonyrack.store.store_response import StoreError
from ebonyrack.store.store_response import StoreErrorKind

REFUSED = Err(StoreError(StoreErrorKind.REFUSED, "busy"))


class FakeStore:
    """Returns queued results to reads and watches, then blocks."""

    def __init__(self):
        self.results = []
        self.calls = []

    async def read_prefix(self, prefix, allow_stale=False):
        self.calls.append("read")
        return await self.next_result()

    async def watch_prefix(self, prefix, revision, wait_s):
        self.calls.append(f"watch {revision}")
        return await self.next_result()

    async def next_result(self):
        if self.results:
            return self.results.pop(0)
        await asyncio.Event().wait()


def build_follower(store, options, availability, probes_store=False):
    seen = []

    async def apply(changes):
        seen.append(changes.revision)

    follower = StoreFollower(
        store, options, apply, lambda: False, availability, probes_store
    )
    return follower, seen


async def follow(follower, until):
    async with follower:
        async with asyncio.timeout(5):
            while not until():
                await asyncio.sleep(0.01)


async def test_a_watch_continues_from_a_read_and_rereads_after_lost_history():
    store = FakeStore()
    whole = Ok(StoreChanges((), (), 7, is_complete=True))
    store.results = [whole, Ok(StoreChanges((), (), 9)), Ok(None), whole]
    options = FollowOptions("op/", watch_s=1.0, pause_s=0.0)
    follower, seen = build_follower(store, options, StoreAvailability())
    await follow(follower, lambda: len(store.calls) == 5)
    assert store.calls == ["read", "watch 7", "watch 9", "read", "watch 7"]
    assert seen == [7, 9, 7]


async def test_a_failed_watch_is_retried_at_once_while_the_store_is_available():
    store = FakeStore()
    store.results = [Ok(StoreChanges((), (), 7)), REFUSED, Ok(StoreChanges((), (), 8))]
    availability = StoreAvailability()
    availability.record_available()
    options = FollowOptions("op/", watch_s=1.0, pause_s=0.0)
    follower, seen = build_follower(store, options, availability)
    started_s = asyncio.get_running_loop().time()
    await follow(follower, lambda: seen == [7, 8])
    assert asyncio.get_running_loop().time() - started_s < 0.5
    assert availability.available_since_s is not None


async def test_all_keys_are_read_again_after_a_failed_watch():
    # A new watch at the old revision would miss changes made before the failure if the
    # store drops its history after that.
    store = FakeStore()
    whole = Ok(StoreChanges((), (), 7, is_complete=True))
    store.results = [whole, REFUSED, whole]
    availability = StoreAvailability()
    availability.record_available()
    options = FollowOptions("op/", watch_s=1.0, pause_s=0.0)
    follower, _ = build_follower(store, options, availability)
    await follow(follower, lambda: len(store.calls) == 4)
    assert store.calls == ["read", "watch 7", "read", "watch 7"]


async def test_a_follower_that_does_not_probe_waits_for_the_store():
    store = FakeStore()
    store.results = [REFUSED] * 3
    availability = StoreAvailability()
    follower, _ = build_follower(store, FollowOptions("op/", watch_s=1.0), availability)
    async with follower:
        await asyncio.sleep(0.5)
        assert len(store.calls) == 1
        availability.record_available()
        await asyncio.sleep(0.05)
        assert len(store.calls) == 2


async def test_a_failed_call_of_another_follower_wakes_the_probing_one():
    # Without that, a store that stops right after a read of the entries would count as
    # available until the next one 3 s later, and callers would not be moved.
    entry_store, route_store, availability = (
        FakeStore(),
        FakeStore(),
        StoreAvailability(),
    )
    entry_store.results = [Ok(StoreChanges((), (), 7, is_complete=True)), REFUSED]
    entries, _ = build_follower(
        entry_store, FollowOptions("in/", pause_s=60.0), availability, True
    )
    routes, _ = build_follower(
        route_store, FollowOptions("op/", watch_s=1.0), availability
    )
    async with entries:
        await asyncio.sleep(0.05)
        assert availability.unavailable_since_s is None
        route_store.results = [REFUSED]
        await follow(routes, lambda: availability.unavailable_since_s is not None)


async def test_watch_that_ends_without_a_change_is_repeated_at_once():
    # The pause after it would hold back a change of that moment.
    class SlowStore(FakeStore):
        async def watch_prefix(self, prefix, revision, wait_s):
            self.times_s.append(now_s())
            await asyncio.sleep(0.3)
            return Ok(StoreChanges((), (), revision))

    store = SlowStore()
    store.times_s = []
    store.results = [Ok(StoreChanges((), (), 7, is_complete=True))]
    options = FollowOptions("op/", watch_s=0.3, pause_s=0.25)
    follower, _ = build_follower(store, options, StoreAvailability())
    await follow(follower, lambda: len(store.times_s) == 3)
    assert store.times_s[2] - store.times_s[0] < 0.3 + 0.3 + 0.25
