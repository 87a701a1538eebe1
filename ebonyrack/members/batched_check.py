"""Runs a check of a group for all requests that wait for it, one check at a time."""

from __future__ import annotations

import asyncio
from typing import Generic
from typing import TypeVar

from ebonyrack.core.component import Component

Verdict = TypeVar("Verdict")


class BatchedCheck(Component, Generic[Verdict]):
    """A check that serves every request which arrives before it begins.

    Attributes:
        running: The check that may have begun, or None.
        next: The check that begins after it, or None.
    """

    __slots__ = ("running", "next")

    def __init__(self) -> None:
        self.running: asyncio.Task[Verdict] | None = None
        self.next: asyncio.Task[Verdict] | None = None

    async def stop(self) -> None:
        """Wait until the checks have ended; requests wait for their verdicts."""
        tasks = [task for task in (self.running, self.next) if task is not None]
        if tasks:
            await asyncio.wait(tasks)

    def request(self) -> asyncio.Task[Verdict]:
        """Return a check that begins after this call.

        Others may share the task, so it must not be cancelled.
        """
        if self.next is None:
            self.next = asyncio.create_task(self.run_after(self.running))
        return self.next

    async def run_after(self, earlier: asyncio.Task[Verdict] | None) -> Verdict:
        """Run a check after an earlier one has ended."""
        if earlier is not None:
            await asyncio.wait([earlier])
        self.running, self.next = self.next, None
        return await self.run()

    async def run(self) -> Verdict:
        """Run one check."""
        raise NotImplementedError
