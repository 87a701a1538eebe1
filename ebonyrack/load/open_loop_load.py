"""Open-loop load: bookings arrive at random times, even while others are pending."""

from __future__ import annotations

import asyncio
import random

from ebonyrack.core.clock import now_s
from ebonyrack.core.component import Component
from ebonyrack.core.tasks import end_tasks
from ebonyrack.load.caller import BookingCaller
from ebonyrack.load.record import WorkloadRecord
from ebonyrack.load.workload_options import WorkloadOptions

CONNECT_CONCURRENCY = 8


class OpenLoopLoad(Component):
    """Assigns each arriving booking to an idle caller: an async context manager.

    Attributes:
        options: Behaviour of the callers.
        record: Replies that the callers received.
        prepared_count: Number of callers whose connections are opened before the load.
        callers: All callers.
        idle_callers: Callers without a booking in progress.
        tasks: Bookings in progress.
        arrived_at_s: Monotonic times at which bookings arrived.
        random: Random number generator of the times between arrivals.
    """

    __slots__ = (
        "options",
        "record",
        "prepared_count",
        "callers",
        "idle_callers",
        "tasks",
        "arrived_at_s",
        "random",
    )

    def __init__(
        self, options: WorkloadOptions, record: WorkloadRecord, prepared_count: int
    ) -> None:
        self.options = options
        self.record = record
        self.prepared_count = prepared_count
        self.callers: list[BookingCaller] = []
        self.idle_callers: list[BookingCaller] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.arrived_at_s: list[float] = []
        self.random = random.Random(options.run_id)

    async def start(self) -> None:
        """Open the connections of the prepared callers."""
        semaphore = asyncio.Semaphore(CONNECT_CONCURRENCY)
        await asyncio.gather(
            *(self.prepare_caller(semaphore) for _ in range(self.prepared_count))
        )

    async def stop(self) -> None:
        """Cancel the bookings in progress and close all connections."""
        await end_tasks(self.tasks)
        await asyncio.gather(*(caller.connections.close() for caller in self.callers))

    async def prepare_caller(self, semaphore: asyncio.Semaphore) -> None:
        """Add an idle caller with a connection to each proxy."""
        caller = self.add_caller()
        async with semaphore:
            await caller.connections.open_all()
        self.idle_callers.append(caller)

    def add_caller(self) -> BookingCaller:
        """Add a caller that is not idle yet."""
        caller = BookingCaller(len(self.callers), self.options, self.record)
        self.callers.append(caller)
        return caller

    async def run(self, rate_per_s: float, stop_at_s: float, deadline_s: float) -> None:
        """Start bookings at random times until it is time to stop.

        Args:
            rate_per_s: Mean number of bookings that arrive per second.
            stop_at_s: Monotonic time after which no booking arrives.
            deadline_s: Monotonic time after which a booking counts as unfinished.
        """
        next_s = now_s()
        while next_s < stop_at_s:
            await asyncio.sleep(max(0.0, next_s - now_s()))
            self.arrived_at_s.append(now_s())
            task = asyncio.create_task(self.book(deadline_s))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            next_s += self.random.expovariate(rate_per_s)

    async def book(self, deadline_s: float) -> None:
        """Make one booking with an idle caller, or with a new one if none is idle."""
        caller = self.idle_callers.pop() if self.idle_callers else self.add_caller()
        await caller.reserve(deadline_s)
        self.idle_callers.append(caller)

    async def finish(self) -> None:
        """Wait until no booking is in progress."""
        while self.tasks:
            await asyncio.wait(self.tasks)
