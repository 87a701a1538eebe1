"""Read index: a log position that covers every write acknowledged so far."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ebonyrack.core.clock import now_s
from ebonyrack.core.component import Component
from ebonyrack.core.position import LogPosition
from ebonyrack.core.tasks import end_tasks
from ebonyrack.routing.read_round import PollRound

if TYPE_CHECKING:
    from ebonyrack.upstreams.group import DatabaseGroup

# The history keeps at most one index per interval.
HISTORY_INTERVAL_S = 0.05
HISTORY_LENGTH = 512


@dataclass(frozen=True, slots=True)
class DatedIndex:
    """A read index and the time when its round of polls started.

    Attributes:
        poll_sent_at_s: Monotonic time before the first poll of its round was sent.
        position: Covers every write that was acknowledged before that time.
    """

    poll_sent_at_s: float
    position: LogPosition


class ReadIndex(Component):
    """Read index of one group, shared by the reads that wait for it.

    An acknowledged write is held by a majority of the upstreams. Any majority that
    is polled afterwards has a member in common with it, so the highest received
    position among them is at or past the write.

    Attributes:
        group: The database group.
        current_round: The latest round that has started, or None; it may have ended.
        next_round: The round that begins after it, or None.
        history: Earlier indexes, oldest first.
        has_overlapped_read: Whether a read is in flight that was sent before its
            index was known.
        overlap_allowed_at_s: Monotonic time from which reads may be overlapped.
    """

    __slots__ = (
        "group",
        "current_round",
        "next_round",
        "history",
        "has_overlapped_read",
        "overlap_allowed_at_s",
    )

    def __init__(self, group: DatabaseGroup) -> None:
        self.group = group
        self.current_round: asyncio.Task[DatedIndex] | None = None
        self.next_round: asyncio.Task[DatedIndex] | None = None
        self.history: deque[DatedIndex] = deque(maxlen=HISTORY_LENGTH)
        self.has_overlapped_read = False
        self.overlap_allowed_at_s = 0.0

    async def stop(self) -> None:
        """Cancel the rounds in flight."""
        rounds = [
            task for task in (self.current_round, self.next_round) if task is not None
        ]
        await end_tasks(rounds)

    async def fetch(self) -> LogPosition:
        """Return a position that covers every write acknowledged before the call.

        Returns:
            The position.

        Raises:
            RequestError: NO_UPSTREAM if no majority of the upstreams answers.
        """
        return (await asyncio.shield(self.join_round())).position

    @property
    def is_idle(self) -> bool:
        """Whether no round and no overlapped read is in flight."""
        return (
            self.next_round is None
            and not self.has_overlapped_read
            and not self.is_running
        )

    @property
    def is_running(self) -> bool:
        """Whether a round is in flight."""
        return self.current_round is not None and not self.current_round.done()

    def join_round(self) -> asyncio.Task[DatedIndex]:
        """Return a round that has not sent its polls yet, starting one if needed."""
        if self.next_round is None:
            self.next_round = asyncio.create_task(self.run_round(self.current_round))
            self.next_round.add_done_callback(retrieve_error)
        return self.next_round

    async def run_round(self, previous: asyncio.Task[DatedIndex] | None) -> DatedIndex:
        """Poll the upstreams after the previous round has ended.

        Args:
            previous: The previous round, or None.

        Returns:
            The index.

        Raises:
            RequestError: NO_UPSTREAM if no majority answers.
        """
        if previous is not None:
            await asyncio.wait([previous])
        self.current_round, self.next_round = self.next_round, None
        poll_sent_at_s = now_s()
        index = DatedIndex(poll_sent_at_s, await self.poll_majority())
        self.record_index(index)
        return index

    async def poll_majority(self) -> LogPosition:
        """Poll until a majority has answered.

        Returns:
            Highest received position among the upstreams that answered.

        Raises:
            RequestError: NO_UPSTREAM if no majority answers.
        """
        group = self.group
        upstreams = group.upstreams.values()
        return await PollRound(group, upstreams, group.majority).collect()

    def record_index(self, index: DatedIndex) -> None:
        """Add an index to the history for reads with a maximum staleness.

        An index within `HISTORY_INTERVAL_S` of the last one is not kept.

        Args:
            index: The index.
        """
        if self.history:
            interval_s = index.poll_sent_at_s - self.history[-1].poll_sent_at_s
            if interval_s < HISTORY_INTERVAL_S:
                return
        self.history.append(index)

    def find_index(self, earliest_s: float) -> LogPosition | None:
        """Return the lowest position known to cover all writes up to a time.

        Args:
            earliest_s: Monotonic time.

        Returns:
            The position; data that covers it lacks no write that was acknowledged
            before that time. None if no index is recent enough.
        """
        for index in self.history:
            if index.poll_sent_at_s >= earliest_s:
                return index.position
        return None


def retrieve_error(task: asyncio.Task[DatedIndex]) -> None:
    """Mark the error of a round as retrieved, in case no reader waits for it any more.

    Args:
        task: The round.
    """
    if not task.cancelled():
        task.exception()
