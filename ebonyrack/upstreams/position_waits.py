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

# Longest wait of one poll. Both kinds of waits share one connection, so a poll must
# not occupy it for long. Waits for a received position may be longer, as they decide
# how soon a write is acknowledged.
RECEIVED_WAIT_LIMIT_S = 0.05
APPLIED_WAIT_LIMIT_S = 0.02
# The connection is closed after this time without a wait.
IDLE_TIMEOUT_S = 5.0


@dataclass(order=True, slots=True)
class PositionWait:
    """One pending wait for a position.

    Attributes:
        position: Position to reach.
        number: Order of arrival, which breaks ties.
        deadline_s: Monotonic time at which the wait times out.
        result: Resolved to the status that covers the position.
    """

    position: LogPosition
    number: int
    deadline_s: float = field(compare=False)
    result: asyncio.Future[UpstreamStatus] = field(compare=False)


class PositionWaits:
    """The pending waits for log positions of one upstream.

    One poll is in flight at a time, for the lowest pending position of one kind; its
    result resolves every wait that it covers.

    Attributes:
        control: A separate connection, so that waits do not delay plain polls.
        contract: Builds the polls and parses their results.
        reply_timeout_s: Seconds that a result may take beyond the wait itself.
        on_status: Called with each status and the time at which its poll was sent.
        heaps: Pending waits, by whether they are for the received position.
        task: The task that sends the polls, or None.
    """

    __slots__ = (
        "control",
        "contract",
        "reply_timeout_s",
        "on_status",
        "heaps",
        "task",
        "wake",
        "numbers",
        "last_was_received",
    )

    def __init__(
        self,
        control: ControlConnection,
        contract: EbonyrackContract,
        reply_timeout_s: float,
        on_status: Callable[[UpstreamStatus, float], None],
    ) -> None:
        self.control = control
        self.contract = contract
        self.reply_timeout_s = reply_timeout_s
        self.on_status = on_status
        self.heaps: dict[bool, list[PositionWait]] = {True: [], False: []}
        self.task: asyncio.Task[None] | None = None
        self.wake = asyncio.Event()
        self.numbers = itertools.count()
        self.last_was_received = False

    async def wait(
        self, position: LogPosition, wait_s: float, received: bool
    ) -> UpstreamStatus | None:
        """Wait until the upstream reaches a position.

        Args:
            position: Position to reach.
            wait_s: Longest time to wait, in seconds.
            received: Whether to wait for the received instead of the applied position.

        Returns:
            The status that covers the position, or None on timeout.

        Raises:
            UpstreamLostError: If the upstream was lost in the meantime.
        """
        result: asyncio.Future[UpstreamStatus] = (
            asyncio.get_running_loop().create_future()
        )
        deadline_s = now_s() + wait_s
        entry = PositionWait(position, next(self.numbers), deadline_s, result)
        heapq.heappush(self.heaps[received], entry)
        self.start()
        try:
            async with asyncio.timeout(wait_s):
                return await result
        except TimeoutError:
            return None
        finally:
            result.cancel()

    def start(self) -> None:
        """Start the task if it is not running, and wake it for a new wait."""
        if self.task is None or self.task.done():
            self.task = asyncio.create_task(self.run())
        self.wake.set()

    async def run(self) -> None:
        """Send polls until there has been no wait for `IDLE_TIMEOUT_S`."""
        while True:
            self.wake.clear()
            entry = self.choose_next()
            if entry is not None:
                await self.send_poll(*entry)
                continue
            try:
                async with asyncio.timeout(IDLE_TIMEOUT_S):
                    await self.wake.wait()
            except TimeoutError:
                self.control.close()
                return

    def choose_next(self) -> tuple[PositionWait, bool] | None:
        """Choose the next wait: lowest position first, alternating between the kinds.

        Returns:
            The wait and whether it is for the received position, or None.
        """
        for received in (not self.last_was_received, self.last_was_received):
            heap = self.heaps[received]
            while heap and heap[0].result.done():
                heapq.heappop(heap)
            if heap:
                self.last_was_received = received
                return heap[0], received
        return None

    async def send_poll(self, entry: PositionWait, received: bool) -> None:
        """Send one poll and resolve the waits that its result covers.

        Args:
            entry: The wait with the lowest position.
            received: Whether it is for the received position.
        """
        wait_limit_s = RECEIVED_WAIT_LIMIT_S if received else APPLIED_WAIT_LIMIT_S
        wait_ms = round(wait_limit_s * 1000)
        poll_sent_at_s = now_s()
        sql = self.contract.build_poll(entry.position, wait_ms, received)
        try:
            result = await self.control.query(sql, wait_limit_s + self.reply_timeout_s)
            status = self.contract.parse_status(result.rows[0])
        except (UpstreamLostError, ValueError) as error:
            self.fail_all(UpstreamLostError(str(error)))
            return
        self.resolve_reached(status)
        self.on_status(status, poll_sent_at_s)

    def resolve_reached(self, status: UpstreamStatus) -> None:
        """Resolve every wait whose position a status covers.

        Args:
            status: A status of the upstream, received on this or another connection.
        """
        for received, heap in self.heaps.items():
            reached = status.received if received else status.applied
            while heap and (heap[0].result.done() or heap[0].position <= reached):
                entry = heapq.heappop(heap)
                if not entry.result.done():
                    entry.result.set_result(status)

    def fail_all(self, error: UpstreamLostError) -> None:
        """Fail every pending wait.

        Args:
            error: Why the waits can't be satisfied.
        """
        for heap in self.heaps.values():
            for entry in heap:
                if not entry.result.done():
                    entry.result.set_exception(UpstreamLostError(error.reason))
            heap.clear()

    async def close(self) -> None:
        """Stop the task, fail every pending wait and close the connection."""
        await end_tasks([self.task])
        self.task = None
        self.fail_all(UpstreamLostError("the upstream was removed"))
        self.control.close()
