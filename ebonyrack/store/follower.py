"""Follows a part of the store: watches what changes seldom, reads the rest at a pace.

Load answered: every upstream renews its entry each second, so a watch of each proxy
would return with each heartbeat and carry all of them. Reading the entries every few
seconds costs a third of the bytes and calls; while something is missing that the store
may bring, the pace is some calls a second.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger
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

# While something is missing that the store may bring any moment.
HURRIED_PAUSE_S = 0.4
# Between two watches, so that a series of changes is not a call each.
WATCH_PAUSE_S = 0.1
FIRST_BACKOFF_S = 0.1
MAXIMUM_BACKOFF_S = 0.5
# A follower that leaves the asking to another one asks itself after this, in seconds.
LONGEST_WAIT_S = 1.0

Apply = Callable[[StoreChanges], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class FollowOptions:
    """How a part of the store is followed.

    Attributes:
        prefix: Start of its keys.
        watch_s: Seconds for which a watch waits for a change; 0 to read at a pace.
        pause_s: Seconds between two reads.
        allow_stale: Whether what the store held some seconds ago will do.
    """

    prefix: str
    watch_s: float = 0.0
    pause_s: float = WATCH_PAUSE_S
    allow_stale: bool = False


class StoreAvailability:
    """Whether the store answers, as all followers of a process know it.

    While it doesn't, one of them asks on and the others wait for it: calls that are
    refused cost the store as much as others.

    Attributes:
        available_since_s: Time since which it answers, or None.
        unavailable_since_s: Time since which it does not, or None.
        restored: Wakes those who wait for it.
        failure_reported: Wakes the follower that asks when a call of another one
            has failed.
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
        """Return for how long the store has answered without a failure, in seconds."""
        since_s = self.available_since_s
        return boot_time_s() - since_s if since_s is not None else 0.0

    def compute_unavailable_s(self) -> float:
        """Return for how long the store has not answered, in seconds."""
        since_s = self.unavailable_since_s
        return boot_time_s() - since_s if since_s is not None else 0.0

    def record_available(self) -> None:
        """Note that the store answers."""
        if self.available_since_s is None:
            self.available_since_s = boot_time_s()
            self.unavailable_since_s = None
            logger.info("store_answers")
            self.restored.notify()

    def record_unavailable(self, error: StoreError) -> None:
        """Note that the store does not answer."""
        if self.available_since_s is not None:
            self.available_since_s = None
            self.unavailable_since_s = boot_time_s()
            logger.bind(kind=error.kind, reason=error.reason).warning("store_lost")


class StoreFollower(Component):
    """Hands on what the store holds and each change of it.

    Attributes:
        store: The store.
        plan: What is followed, and how.
        apply: Takes over what was read.
        is_hurried: Tells whether something is missing that changes may bring.
        revision: Revision from which the next watch goes on; 0 to read anew.
        availability: Whether the store answers.
        probes_store: Whether this one asks on while the store doesn't answer.
        task: Follows the store.
    """

    __slots__ = (
        "store",
        "plan",
        "apply",
        "is_hurried",
        "revision",
        "availability",
        "probes_store",
        "task",
    )

    def __init__(
        self,
        store: LeasingStore,
        plan: FollowOptions,
        apply: Apply,
        is_hurried: Callable[[], bool],
        availability: StoreAvailability,
        probes_store: bool = False,
    ) -> None:
        self.store = store
        self.plan = plan
        self.apply = apply
        self.is_hurried = is_hurried
        self.revision = 0
        self.availability = availability
        self.probes_store = probes_store
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to follow."""
        self.task = start_loop(self.follow)

    async def stop(self) -> None:
        """Stop to follow."""
        await end_tasks([self.task])

    async def follow(self) -> None:
        """Read and watch until cancelled."""
        backoff = Backoff(FIRST_BACKOFF_S, MAXIMUM_BACKOFF_S)
        while True:
            result = await self.take_step()
            if isinstance(result, Err):
                # The store may forget what a watch that was cut has not brought; a
                # new one would wait for the next change.
                self.revision = 0
                self.note_failed(result.err_value)
                await self.wait_for_store(backoff.choose_delay())
                continue
            if self.probes_store:
                self.availability.record_available()
            backoff.reset()
            pause_s = self.plan.pause_s
            if self.is_hurried():
                pause_s = min(pause_s, HURRIED_PAUSE_S)
            await self.pause(pause_s)

    async def pause(self, pause_s: float) -> None:
        """Wait before the next call; the one that asks is woken by doubts."""
        if self.probes_store:
            await self.availability.failure_reported.wait(pause_s)
        else:
            await asyncio.sleep(pause_s)

    async def take_step(self) -> Result[None, StoreError]:
        """Read all once, or wait for one answer of a watch."""
        found: Result[StoreChanges | None, StoreError]
        plan = self.plan
        if self.revision == 0 or plan.watch_s == 0.0:
            found = await self.store.read_prefix(plan.prefix, plan.allow_stale)
        else:
            found = await self.store.watch_prefix(
                plan.prefix, self.revision, plan.watch_s
            )
        if isinstance(found, Err):
            return found
        changes = found.ok_value
        if changes is None:
            logger.bind(revision=self.revision).warning("store_history_lost")
            self.revision = 0
            return Ok(None)
        self.revision = changes.revision
        await self.apply(changes)
        return Ok(None)

    def note_failed(self, error: StoreError) -> None:
        """Note a call that failed; a watch may be cut while the store answers."""
        if self.probes_store:
            self.availability.record_unavailable(error)
            return
        logger.bind(prefix=self.plan.prefix, kind=error.kind, reason=error.reason).info(
            "store_call_failed"
        )
        self.availability.failure_reported.notify()

    async def wait_for_store(self, delay_s: float) -> None:
        """Wait before the next call after one that failed."""
        if self.probes_store or self.availability.available_since_s is not None:
            await asyncio.sleep(delay_s)
        else:
            await self.availability.restored.wait(LONGEST_WAIT_S)
