"""Reads the upstreams' entries often while a change of primary is under way.

An upstream that joins or restarts then has not been paused, so the holder of the
promotion lease must learn of it sooner than by the usual reading.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from ebonyrack.core.component import Component
from ebonyrack.core.tasks import end_tasks
from ebonyrack.core.tasks import start_loop

# Pause between two readings, in seconds.
REFRESH_PAUSE_S = 0.1
# The same while the primary can be reached: no commit counts once it has stepped down.
PLANNED_REFRESH_PAUSE_S = 1.0
# Longest wait for the first reading; a store that takes longer doesn't delay a change.
FIRST_READING_LIMIT_S = 0.2

ReadEntries = Callable[[], Awaitable[None]]


class EntryRefresh(Component):
    """Reads the entries repeatedly, more often after a loss: a context manager.

    Attributes:
        read_entries: Reads all entries once and applies them.
        pause_s: Pause between two readings, in seconds.
        has_read: Set once a reading has ended.
        task: Reads the entries.
    """

    __slots__ = ("read_entries", "pause_s", "has_read", "task")

    def __init__(self, read_entries: ReadEntries, is_lost: bool) -> None:
        self.read_entries = read_entries
        self.pause_s = REFRESH_PAUSE_S if is_lost else PLANNED_REFRESH_PAUSE_S
        self.has_read = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to read the entries."""
        self.task = start_loop(self.read_forever)

    async def stop(self) -> None:
        """Stop reading them."""
        await end_tasks([self.task])

    async def read_forever(self) -> None:
        """Read the entries until cancelled."""
        while True:
            await self.read_entries()
            self.has_read.set()
            await asyncio.sleep(self.pause_s)

    async def wait_for_reading(self) -> None:
        """Wait for the first reading, but not for long."""
        try:
            async with asyncio.timeout(FIRST_READING_LIMIT_S):
                await self.has_read.wait()
        except TimeoutError:
            return
