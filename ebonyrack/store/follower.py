"""Following a key prefix of the store, by watches or by periodic reads.

Keys that change seldom are watched. Upstreams' entries are read periodically instead:
every upstream renews its entry each second, so the watches of all proxies would return
with each heartbeat and carry all entries. Reading them every few seconds costs a third
of the bytes and calls. While data is missing that the store may provide, reads are made
several times a second.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from loguru import logger
from msgspec import Struct
from result import Err
from result import Ok
from result import Result

from ebonyrack.core.clock import boot_time_s
from ebonyrack.core.component import Component
from ebonyrack.core.notifier import Notifier
from ebonyrack.core.tasks import end_tasks
from ebonyrack.core.tasks import start_loop
from ebonyrack.store.backoff import Backoff
from ebonyrack.store.leasing_store import LeasingStore
from ebonyrack.store.leasing_store import StoreChanges
from ebonyrack.store.store_response import StoreError

# Pause between reads while data is missing that the store may provide at any time.
INCOMPLETE_PAUSE_S = 0.4
# Pause between watches, so that a burst of changes does not cause a call for each.
WATCH_PAUSE_S = 0.1
FIRST_BACKOFF_S = 0.1
MAXIMUM_BACKOFF_S = 0.5
# Limit on the wait for the probing follower; then the others call the store themselves.
MAXIMUM_WAIT_S = 1.0

# The platform holds a watch for 30 s at most.
LONGEST_WATCH_S = 25.0
SHORTEST_WATCH_S = 0.5
# A watch whose response was lost is given up, and all keys are read, within this time
# after the store should have answered it.
LOST_WATCH_ALLOWANCE_S = 1.0

Apply = Callable[[StoreChanges], Awaitable[None]]


class FollowOptions(Struct, frozen=True):
    """How a key prefix is followed.

    Attributes:
        prefix: Prefix of the keys.
        watch_s: Seconds for which a watch waits for a change; 0 for periodic reads.
        pause_s: Seconds between two reads or watches.
        allow_stale: Whether reads may return data that is some seconds old.
    """

    prefix: str
    watch_s: float = 0.0
    pause_s: float = WATCH_PAUSE_S
    allow_stale: bool = False


def compute_watch_time(limit_s: float) -> float:
    """Return for how long a watch may wait, in seconds.

    A lost response can't be told from one that is held back, so the wait bounds how
    long it hides a change.

    Args:
        limit_s: Seconds within which a change must be in force.
    """
    return min(LONGEST_WATCH_S, max(SHORTEST_WATCH_S, limit_s - LOST_WATCH_ALLOWANCE_S))


class StoreAvailability:
    """Tracks whether the store answers, for all followers of a process.

    While it does not, only one follower probes it and the others wait, because
    rejected calls cost the store as much as others.

    Attributes:
        available_since_s: Time since which it answers, or None.
        unavailable_since_s: Time since which it does not, or None.
        restored: Wakes the waiting followers when the store answers again.
        failure_reported: Wakes the probing follower when a call of another one has
            failed.
    """

    __slots__ = (
        "available_since_s",
        "unavailable_since_s",
        "restored",
        "failure_reported",
    )

    def __init__(self) -> None:
        self.available_since_s: float | None = None
        self.unavailable_since_s: float | None = boot_time_s()
        self.restored = Notifier()
        self.failure_reported = Notifier()

    def compute_available_s(self) -> float:
        """Return the seconds for which the store has answered without a failure."""
        since_s = self.available_since_s
        return boot_time_s() - since_s if since_s is not None else 0.0

    def compute_unavailable_s(self) -> float:
        """Return the seconds for which the store has not answered."""
        since_s = self.unavailable_since_s
        return boot_time_s() - since_s if since_s is not None else 0.0

    def record_available(self) -> None:
        """Record that the store answers."""
        if self.available_since_s is None:
            self.available_since_s = boot_time_s()
            self.unavailable_since_s = None
            logger.info("store_answers")
            self.restored.notify()

    def record_unavailable(self, error: StoreError) -> None:
        """Record that the store does not answer."""
        if self.available_since_s is not None:
            self.available_since_s = None
            self.unavailable_since_s = boot_time_s()
            logger.bind(kind=error.kind, reason=error.reason).warning("store_lost")


class StoreFollower(Component):
    """Passes the keys with a prefix and their changes to a callback.

    Attributes:
        store: The store.
        options: What is followed, and how.
        apply: Processes the changes that were read.
        is_incomplete: Returns whether data is missing that the store may provide.
        revision: Revision at which the next watch continues; 0 to read all keys again.
        availability: Whether the store answers.
        probes_store: Whether this follower keeps calling while the store does not
            answer.
        task: Follows the store.
    """

    __slots__ = (
        "store",
        "options",
        "apply",
        "is_incomplete",
        "revision",
        "availability",
        "probes_store",
        "task",
    )

    def __init__(
        self,
        store: LeasingStore,
        options: FollowOptions,
        apply: Apply,
        is_incomplete: Callable[[], bool],
        availability: StoreAvailability,
        probes_store: bool = False,
    ) -> None:
        self.store = store
        self.options = options
        self.apply = apply
        self.is_incomplete = is_incomplete
        self.revision = 0
        self.availability = availability
        self.probes_store = probes_store
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to follow the prefix."""
        self.task = start_loop(self.follow)

    async def stop(self) -> None:
        """Stop following the prefix."""
        await end_tasks([self.task])

    async def follow(self) -> None:
        """Read and watch until cancelled."""
        backoff = Backoff(FIRST_BACKOFF_S, MAXIMUM_BACKOFF_S)
        while True:
            started_s = boot_time_s()
            result = await self.fetch_once()
            if isinstance(result, Err):
                # The store may drop changes that the failed watch did not deliver. A
                # new watch would miss them, so all keys are read again.
                self.revision = 0
                self.record_failure(result.err_value)
                await self.wait_for_store(backoff.choose_delay())
                continue
            if self.probes_store:
                self.availability.record_available()
            backoff.reset()
            pause_s = self.options.pause_s
            if self.is_incomplete():
                pause_s = min(pause_s, INCOMPLETE_PAUSE_S)
            if not result.ok_value:
                # The pause is for bursts; a change that comes now is not held back.
                pause_s = max(0.0, pause_s - (boot_time_s() - started_s))
            await self.pause(pause_s)

    async def pause(self, pause_s: float) -> None:
        """Wait before the next call; a reported failure wakes the probing follower."""
        if self.probes_store:
            await self.availability.failure_reported.wait(pause_s)
        else:
            await asyncio.sleep(pause_s)

    async def fetch_once(self) -> Result[bool, StoreError]:
        """Read all keys once, or make one watch call.

        Returns:
            Whether anything was read that may have changed, or why not.
        """
        found: Result[StoreChanges | None, StoreError]
        options = self.options
        if self.revision == 0 or options.watch_s == 0.0:
            found = await self.store.read_prefix(options.prefix, options.allow_stale)
        else:
            found = await self.store.watch_prefix(
                options.prefix, self.revision, options.watch_s
            )
        if isinstance(found, Err):
            return found
        changes = found.ok_value
        if changes is None:
            logger.bind(revision=self.revision).warning("store_history_lost")
            self.revision = 0
            return Ok(True)
        self.revision = changes.revision
        await self.apply(changes)
        return Ok(changes.is_complete or bool(changes.items or changes.deleted))

    def record_failure(self, error: StoreError) -> None:
        """Report a failed call; a watch can fail although the store is available."""
        if self.probes_store:
            self.availability.record_unavailable(error)
            return
        logger.bind(
            prefix=self.options.prefix, kind=error.kind, reason=error.reason
        ).info("store_call_failed")
        self.availability.failure_reported.notify()

    async def wait_for_store(self, delay_s: float) -> None:
        """Wait before the next call after a failed one."""
        if self.probes_store or self.availability.available_since_s is not None:
            await asyncio.sleep(delay_s)
        else:
            await self.availability.restored.wait(MAXIMUM_WAIT_S)
