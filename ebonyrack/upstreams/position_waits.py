"""Coalesced waits until an upstream reaches a log position."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ebonyrack.core.clock import now_s
from ebonyrack.core.tasks import end_tasks
from ebonyrack.upstreams.connection import UpstreamLostError
from ebonyrack.upstreams.control import ControlConnection

if TYPE_CHECKING:
    from collections.abc import Callable

    from ebonyrack.core.position import LogPosition
    from ebonyrack.upstreams.contract import EbonyrackContract
    from ebonyrack.upstreams.status import UpstreamStatus

# Longest wait of one call. Both kinds of waits share the connection, so none may hold
# it for long; received positions decide how soon a write is acknowledged.
RECEIVED_CALL_S = 0.05
APPLIED_CALL_S = 0.02
# The connection is given back to the upstream after this time without a wait.
IDLE_CLOSE_S = 5.0


@dataclass(order=True, slots=True)
class PositionWait:
    """One caller that waits for a position.

    Attributes:
        position: Position to reach.
        number: Order of arrival, which breaks ties.
        deadline_s: Monotonic time at which the caller gives up.
        answer: Set to the status that covers the position.
    """

    position: LogPosition
    number: int
    deadline_s: float = field(compare=False)
    answer: asyncio.Future[UpstreamStatus] = field(compare=False)


class PositionWaits:
    """The callers that wait for positions of one upstream.

    One call is in flight at a time, for the lowest position waited for; its answer
    settles every caller that it covers.

    Attributes:
        control: Connection of its own, so that a wait delays no poll.
        contract: Builds and reads the calls.
        answer_timeout_s: Seconds that an answer may take beyond the wait itself.
        on_status: Called with each status and the time at which it was asked for.
        heaps: Waiting callers, by whether they wait for the received position.
        task: The task that makes the calls, or None if none is needed.
    """

    __slots__ = (
        "control",
        "contract",
        "answer_timeout_s",
        "on_status",
        "heaps",
        "task",
        "wake",
        "numbers",
        "last_received",
    )

    def __init__(
        self,
        control: ControlConnection,
        contract: EbonyrackContract,
        answer_timeout_s: float,
        on_status: Callable[[UpstreamStatus, float], None],
    ) -> None:
        self.control = control
        self.contract = contract
        self.answer_timeout_s = answer_timeout_s
        self.on_status = on_status
        self.heaps: dict[bool, list[PositionWait]] = {True: [], False: []}
        self.task: asyncio.Task[None] | None = None
        self.wake = asyncio.Event()
        self.numbers = itertools.count()
        self.last_received = False

    async def wait(
        self, position: LogPosition, wait_s: float, received: bool
    ) -> UpstreamStatus | None:
        """Wait until the upstream reaches a position.

        Args:
            position: Position to reach.
            wait_s: Seconds to wait at most.
            received: Wait for the received rather than the applied position.

        Returns:
            The status that covers the position, or None if the time is over.

        Raises:
            UpstreamLostError: If the upstream was lost meanwhile.
        """
        answer: asyncio.Future[UpstreamStatus] = (
            asyncio.get_running_loop().create_future()
        )
        deadline_s = now_s() + wait_s
        entry = PositionWait(position, next(self.numbers), deadline_s, answer)
        heapq.heappush(self.heaps[received], entry)
        self.start()
        try:
            async with asyncio.timeout(wait_s):
                return await answer
        except TimeoutError:
            return None
        finally:
            answer.cancel()

    def start(self) -> None:
        """Make sure that the task runs and knows of the new caller."""
        if self.task is None or self.task.done():
            self.task = asyncio.create_task(self.run())
        self.wake.set()

    async def run(self) -> None:
        """Make calls as long as anyone waits, and a little longer."""
        while True:
            self.wake.clear()
            entry = self.choose_next()
            if entry is not None:
                await self.make_call(*entry)
                continue
            try:
                async with asyncio.timeout(IDLE_CLOSE_S):
                    await self.wake.wait()
            except TimeoutError:
                self.control.close()
                return

    def choose_next(self) -> tuple[PositionWait, bool] | None:
        """Choose the call to make: the kinds take turns, lowest position first.

        Returns:
            The wait and whether it is for the received position, or None.
        """
        for received in (not self.last_received, self.last_received):
            heap = self.heaps[received]
            while heap and heap[0].answer.done():
                heapq.heappop(heap)
            if heap:
                self.last_received = received
                return heap[0], received
        return None

    async def make_call(self, entry: PositionWait, received: bool) -> None:
        """Make one call and settle what its answer covers.

        Args:
            entry: The wait with the lowest position.
            received: Whether it is for the received position.
        """
        longest_s = RECEIVED_CALL_S if received else APPLIED_CALL_S
        wait_ms = round(longest_s * 1000)
        asked_at_s = now_s()
        sql = self.contract.build_poll(entry.position, wait_ms, received)
        try:
            answer = await self.control.query(sql, longest_s + self.answer_timeout_s)
            status = self.contract.parse_status(answer.rows[0])
        except (UpstreamLostError, ValueError) as error:
            self.fail(UpstreamLostError(str(error)))
            return
        self.settle(status)
        self.on_status(status, asked_at_s)

    def settle(self, status: UpstreamStatus) -> None:
        """Answer every caller whose position a status covers.

        Args:
            status: A status of the upstream, from this or another connection.
        """
        for received, heap in self.heaps.items():
            reached = status.received if received else status.applied
            while heap and (heap[0].answer.done() or heap[0].position <= reached):
                entry = heapq.heappop(heap)
                if not entry.answer.done():
                    entry.answer.set_result(status)

    def fail(self, error: UpstreamLostError) -> None:
        """End every wait with an error.

        Args:
            error: Why the upstream can't be waited for.
        """
        for heap in self.heaps.values():
            for entry in heap:
                if not entry.answer.done():
                    entry.answer.set_exception(UpstreamLostError(error.reason))
            heap.clear()

    async def close(self) -> None:
        """End the task, every wait and the connection."""
        await end_tasks([self.task])
        self.task = None
        self.fail(UpstreamLostError("the upstream was removed"))
        self.control.close()
