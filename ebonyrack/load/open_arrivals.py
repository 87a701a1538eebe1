"""Bookings that arrive at random times, whether or not earlier ones are done."""

from __future__ import annotations

import asyncio
import random

from ebonyrack.core.clock import now_s
from ebonyrack.core.component import Component
from ebonyrack.core.tasks import end_tasks
from ebonyrack.load.caller import BookingCaller
from ebonyrack.load.record import WorkloadRecord
from ebonyrack.load.workload_options import WorkloadOptions

OPENING_AT_ONCE = 8


class OpenArrivals(Component):
    """A crowd of which one free caller makes each booking: an async context manager.

    Attributes:
        options: How callers behave.
        record: What they were told.
        ready: Callers whose connections are opened before the load.
        callers: All callers.
        free: Callers without a booking in hand.
        tasks: Bookings in hand.
        arrived_s: Monotonic times at which bookings arrived.
        random: Source of the times between arrivals.
    """

    __slots__ = (
        "options",
        "record",
        "ready",
        "callers",
        "free",
        "tasks",
        "arrived_s",
        "random",
    )

    def __init__(
        self, options: WorkloadOptions, record: WorkloadRecord, ready: int
    ) -> None:
        self.options = options
        self.record = record
        self.ready = ready
        self.callers: list[BookingCaller] = []
        self.free: list[BookingCaller] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.arrived_s: list[float] = []
        self.random = random.Random(options.run_id)

    async def start(self) -> None:
        """Open the connections of the callers that are to be ready."""
        gate = asyncio.Semaphore(OPENING_AT_ONCE)
        await asyncio.gather(*(self.prepare_caller(gate) for _ in range(self.ready)))

    async def stop(self) -> None:
        """End the bookings in hand and close all connections."""
        await end_tasks(self.tasks)
        await asyncio.gather(*(caller.connections.close() for caller in self.callers))

    async def prepare_caller(self, gate: asyncio.Semaphore) -> None:
        """Add a caller with a connection to each proxy."""
        caller = self.add_caller()
        async with gate:
            await caller.connections.open_all()
        self.free.append(caller)

    def add_caller(self) -> BookingCaller:
        """Add a caller that is not free yet."""
        caller = BookingCaller(len(self.callers), self.options, self.record)
        self.callers.append(caller)
        return caller

    async def run(self, rate_per_s: float, stop_s: float, give_up_s: float) -> None:
        """Let bookings arrive until it is time to stop.

        Args:
            rate_per_s: Mean number of bookings that arrive in a second.
            stop_s: Monotonic time after which none arrives.
            give_up_s: Monotonic time after which a booking counts as unfinished.
        """
        next_s = now_s()
        while next_s < stop_s:
            await asyncio.sleep(max(0.0, next_s - now_s()))
            self.arrived_s.append(now_s())
            task = asyncio.create_task(self.book(give_up_s))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            next_s += self.random.expovariate(rate_per_s)

    async def book(self, give_up_s: float) -> None:
        """Make one booking with as many attempts as it takes."""
        caller = self.free.pop() if self.free else self.add_caller()
        await caller.reserve(give_up_s)
        self.free.append(caller)

    async def finish(self) -> None:
        """Wait until no booking is in hand."""
        while self.tasks:
            await asyncio.wait(self.tasks)
