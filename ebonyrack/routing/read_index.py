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


@dataclass(slots=True)
class PollRound:
    """Polls that were started together.

    Attributes:
        started_s: Monotonic time before any of them was sent.
        pending: The polls.
        reserve: Upstreams to poll as well if the others are slow.
    """

    started_s: float
    pending: set[asyncio.Task[UpstreamStatus]]
    reserve: list[Upstream]


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
        is_free = self.running is None or self.running.done()
        if is_free and self.waiting is None:
            # Its polls are on their way one turn of the loop earlier than a task's.
            self.running = asyncio.create_task(self.run_round(self.start_polls()))
            self.running.add_done_callback(note_error)
            return self.running
        if self.waiting is None:
            self.waiting = asyncio.create_task(self.run_after(self.running))
            self.waiting.add_done_callback(note_error)
        return self.waiting

    async def run_after(self, previous: asyncio.Task[DatedIndex] | None) -> DatedIndex:
        """Run a round once the one before has ended.

        Args:
            previous: The round before.

        Returns:
            The index.

        Raises:
            RequestError: NO_UPSTREAM if no majority answers.
        """
        if previous is not None:
            await asyncio.wait([previous])
        self.running, self.waiting = self.waiting, None
        return await self.run_round(self.start_polls())

    def start_polls(self) -> PollRound:
        """Start polls of a majority, of replicas if they are one."""
        upstreams = list(self.group.upstreams.values())
        first = self.choose_first(upstreams)
        reserve = [upstream for upstream in upstreams if upstream not in first]
        polls = {upstream.start_poll() for upstream in first}
        return PollRound(now_s(), polls, reserve)

    async def run_round(self, polls: PollRound) -> DatedIndex:
        """Wait for the polls of a round.

        Args:
            polls: Polls that have just been started.

        Returns:
            The index.

        Raises:
            RequestError: NO_UPSTREAM if no majority answers.
        """
        index = DatedIndex(polls.started_s, await self.ask_majority(polls))
        self.remember(index)
        return index

    async def ask_majority(self, polls: PollRound) -> LogPosition:
        """Wait until a majority has answered; ask the rest if that takes long.

        Replicas' positions are lower than the primary's, so a read that waits for
        the index is served earlier and does not wait for writes in progress.

        Args:
            polls: Polls that have just been started.

        Returns:
            Highest position received among those that answered.

        Raises:
            RequestError: NO_UPSTREAM if no majority answers.
        """
        majority = self.group.majority
        pending, reserve = polls.pending, polls.reserve
        received: list[LogPosition] = []
        while len(received) < majority and (pending or reserve):
            timeout_s = HEDGE_AFTER_S if reserve else None
            done, pending = await wait_first(pending, timeout_s)
            answers = [read_answer(task) for task in done]
            received += [item.received for item in answers if item is not None]
            if not done or len(received) + len(pending) < majority:
                pending |= {upstream.start_poll() for upstream in reserve}
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
