"""Read index: a position that covers every write acknowledged so far."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Self

from ebonyrack.core.clock import now_s
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.core.position import LogPosition
from ebonyrack.core.tasks import end_tasks
from ebonyrack.upstreams.connection import UpstreamLostError
from ebonyrack.upstreams.status import UpstreamStatus

if TYPE_CHECKING:
    from types import TracebackType

    from ebonyrack.upstreams.group import DatabaseGroup
    from ebonyrack.upstreams.upstream import Upstream

# The primary is asked too if a majority of replicas has not answered by then.
HEDGE_AFTER_S = 0.005
# The history keeps at most one index for each of these intervals.
HISTORY_STEP_S = 0.05
HISTORY_LENGTH = 512
RETRY_AFTER_S = 0.2


@dataclass(frozen=True, slots=True)
class DatedIndex:
    """A read index and when it was asked for.

    Attributes:
        asked_at_s: Monotonic time before the first poll of its round was sent.
        position: Covers every write that was acknowledged before that time.
    """

    asked_at_s: float
    position: LogPosition


class ReadIndex:
    """Read index of one group, shared by the reads that wait for it.

    An acknowledged write is held by a majority of the upstreams. Any majority that
    is polled afterwards has a member in common with it, so the highest position
    received among them is at or past the write.

    Attributes:
        group: The database group.
        running: The round in flight, or None.
        waiting: The round that begins after it, or None.
        history: Earlier indexes, oldest first.
    """

    __slots__ = ("group", "running", "waiting", "history")

    def __init__(self, group: DatabaseGroup) -> None:
        self.group = group
        self.running: asyncio.Task[DatedIndex] | None = None
        self.waiting: asyncio.Task[DatedIndex] | None = None
        self.history: deque[DatedIndex] = deque(maxlen=HISTORY_LENGTH)

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        rounds = [task for task in (self.running, self.waiting) if task is not None]
        await end_tasks(rounds)

    async def fetch(self) -> LogPosition:
        """Return a position that covers every write acknowledged before the call.

        Returns:
            The position.

        Raises:
            RequestError: NO_UPSTREAM if no majority of the upstreams answers.
        """
        return (await asyncio.shield(self.join_round())).position

    def join_round(self) -> asyncio.Task[DatedIndex]:
        """Return a round of polls that has not sent any yet."""
        if self.waiting is None:
            self.waiting = asyncio.create_task(self.run_round(self.running))
            self.waiting.add_done_callback(note_error)
        return self.waiting

    async def run_round(self, previous: asyncio.Task[DatedIndex] | None) -> DatedIndex:
        """Poll after the round before has ended.

        Args:
            previous: The round before, or None.

        Returns:
            The index.

        Raises:
            RequestError: NO_UPSTREAM if no majority answers.
        """
        if previous is not None:
            await asyncio.wait([previous])
        self.running, self.waiting = self.waiting, None
        asked_at_s = now_s()
        index = DatedIndex(asked_at_s, await self.ask_majority())
        self.remember(index)
        return index

    async def ask_majority(self) -> LogPosition:
        """Poll until a majority has answered, replicas before the primary.

        Replicas' positions are lower than the primary's, so a read that waits for
        the index is served earlier and does not wait for writes in progress.

        Returns:
            Highest position received among those that answered.

        Raises:
            RequestError: NO_UPSTREAM if no majority answers.
        """
        majority = self.group.majority
        reserve = list(self.group.upstreams.values())
        first = self.choose_first(reserve)
        reserve = [upstream for upstream in reserve if upstream not in first]
        polls = {upstream.start_poll() for upstream in first}
        received: list[LogPosition] = []
        while len(received) < majority and (polls or reserve):
            timeout_s = HEDGE_AFTER_S if reserve else None
            done, polls = await wait_first(polls, timeout_s)
            answers = [read_answer(task) for task in done]
            received += [item.received for item in answers if item is not None]
            if not done or len(received) + len(polls) < majority:
                polls |= {upstream.start_poll() for upstream in reserve}
                reserve = []
        if len(received) < majority:
            reason = f"{len(received)} of {majority} upstreams answered"
            raise RequestError(ErrorKind.NO_UPSTREAM, reason, RETRY_AFTER_S)
        return max(received)

    def choose_first(self, upstreams: list[Upstream]) -> list[Upstream]:
        """Choose the upstreams to poll at once.

        Args:
            upstreams: Upstreams of the group.

        Returns:
            The reachable replicas if they are a majority, else all upstreams.
        """
        replicas = [
            upstream
            for upstream in upstreams
            if upstream.is_reachable and upstream.name != self.group.primary_name
        ]
        return replicas if len(replicas) >= self.group.majority else upstreams

    def remember(self, index: DatedIndex) -> None:
        """Keep an index for reads of a stated age.

        Args:
            index: The index.
        """
        if self.history:
            age_s = index.asked_at_s - self.history[-1].asked_at_s
            if age_s < HISTORY_STEP_S:
                return
        self.history.append(index)

    def find_index(self, earliest_s: float) -> LogPosition | None:
        """Return the lowest position known to cover all writes up to a time.

        Args:
            earliest_s: Monotonic time.

        Returns:
            The position: whatever shows it misses no write that was acknowledged
            before that time. None if no index is recent enough.
        """
        for index in self.history:
            if index.asked_at_s >= earliest_s:
                return index.position
        return None


async def wait_first(
    polls: set[asyncio.Task[UpstreamStatus]], timeout_s: float | None
) -> tuple[set[asyncio.Task[UpstreamStatus]], set[asyncio.Task[UpstreamStatus]]]:
    """Wait until one of the polls has ended.

    Args:
        polls: Polls in flight.
        timeout_s: Seconds to wait at most, or None.

    Returns:
        Ended polls and those still in flight.
    """
    if not polls:
        return set(), set()
    return await asyncio.wait(
        polls, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
    )


def read_answer(poll: asyncio.Task[UpstreamStatus]) -> UpstreamStatus | None:
    """Return the answer of a poll that has ended, or None if it failed.

    Args:
        poll: The poll; cancelled if the document has its upstream no more.

    Raises:
        BaseException: Whatever else than a lost upstream ended it.
    """
    if poll.cancelled():
        return None
    error = poll.exception()
    if error is None:
        return poll.result()
    if isinstance(error, UpstreamLostError):
        return None
    raise error


def note_error(task: asyncio.Task[DatedIndex]) -> None:
    """Mark the error of a round as seen, for rounds whose readers have left.

    Args:
        task: The round.
    """
    if not task.cancelled():
        task.exception()
