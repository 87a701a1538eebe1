"""Bounded, fair queue for connections that refuses excess requests at once."""

from __future__ import annotations

import asyncio
import itertools
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from ebonyrack.core.clock import now_s
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.pooling.wait_estimator import WaitEstimator


class Waiter:
    """A request that waits for a connection.

    Attributes:
        caller: Name of the requesting application.
        deadline_s: Monotonic time at which the request gives up.
        number: Sequence number of its arrival.
        account: Client account whose connections it may use; None for any.
        granted: Future resolved to what the request is granted; None until the request
            is queued.
    """

    __slots__ = ("caller", "deadline_s", "number", "account", "granted")

    def __init__(
        self, caller: str, deadline_s: float, number: int, account: str | None = ""
    ) -> None:
        self.caller = caller
        self.deadline_s = deadline_s
        self.number = number
        self.account = account
        self.granted: asyncio.Future[Any] | None = None


@dataclass(slots=True)
class CallerQueue:
    """The waiters of one application.

    Attributes:
        weight: Weight of the application relative to the others.
        progress: Grants so far divided by the weight, in the queue's virtual time.
        waiters: Waiters in order of arrival.
    """

    weight: int
    progress: float = 0.0
    waiters: deque[Waiter] = field(default_factory=deque)


class AdmissionQueue:
    """Bounded queue that serves applications in proportion to their weights.

    The application with the least progress is served next (stride scheduling), so
    a flood from one application takes no more than that application's share. When the
    queue is full, the newest waiter of the application with the most waiters for its
    weight is refused in favour of an application with fewer.

    Attributes:
        limit: Largest number of waiters.
        weights: Weight by application; others count 1.
        callers: Queues of the applications that have waiters.
        virtual_time: Progress of the application served last.
        count: Number of waiters.
        estimator: Estimates waits from the service times of its requests.
        arrivals: Sequence numbers for requests in the order of arrival.
    """

    __slots__ = (
        "limit",
        "weights",
        "callers",
        "virtual_time",
        "count",
        "estimator",
        "arrivals",
    )

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.weights: dict[str, int] = {}
        self.callers: dict[str, CallerQueue] = {}
        self.virtual_time = 0.0
        self.count = 0
        self.estimator = WaitEstimator()
        self.arrivals = itertools.count()

    def __len__(self) -> int:
        return self.count

    def add(self, waiter: Waiter, servers: int) -> None:
        """Queue a request, or refuse it at once.

        Args:
            waiter: The request.
            servers: Connections that serve the queue.

        Raises:
            RequestError: WAIT_TOO_LONG if the expected wait ends after the deadline,
                QUEUE_FULL if the queue has no room for it.
        """
        expected_s = self.estimate_wait(waiter.caller, servers)
        if now_s() + expected_s > waiter.deadline_s:
            raise self.build_refusal(
                ErrorKind.WAIT_TOO_LONG, f"expected wait {expected_s:.3f} s", servers
            )
        if self.count >= self.limit:
            self.make_room(waiter.caller, servers)
        self.insert(waiter)

    def insert(self, waiter: Waiter) -> None:
        """Insert a request into its application's queue, in the order of arrival.

        Args:
            waiter: The request, which may have been granted a slot before.
        """
        waiter.granted = asyncio.get_running_loop().create_future()
        queue = self.callers.get(waiter.caller)
        if queue is None:
            weight = self.weights.get(waiter.caller, 1)
            queue = CallerQueue(weight, self.virtual_time)
            self.callers[waiter.caller] = queue
        index = len(queue.waiters)
        while index > 0 and queue.waiters[index - 1].number > waiter.number:
            index -= 1
        queue.waiters.insert(index, waiter)
        self.count += 1

    def pop(self) -> Waiter | None:
        """Remove and return the waiter to serve next, or None."""
        if not self.callers:
            return None
        name, queue = min(self.callers.items(), key=lambda item: item[1].progress)
        waiter = queue.waiters.popleft()
        self.virtual_time = queue.progress
        queue.progress += 1 / queue.weight
        self.drop_if_empty(name)
        self.count -= 1
        return waiter

    def discard(self, waiter: Waiter) -> None:
        """Remove a waiter that gives up; ignore one that has left the queue already.

        Args:
            waiter: The waiter.
        """
        queue = self.callers.get(waiter.caller)
        if queue is None or waiter not in queue.waiters:
            return
        queue.waiters.remove(waiter)
        self.drop_if_empty(waiter.caller)
        self.count -= 1

    def drop_if_empty(self, name: str) -> None:
        """Remove the queue of an application that has no waiters.

        Args:
            name: Name of the application.
        """
        if not self.callers[name].waiters:
            del self.callers[name]

    def fail_all(self, build_error: Callable[[], Exception]) -> None:
        """End every wait with an error.

        Args:
            build_error: Builds the error for one waiter.
        """
        while (waiter := self.pop()) is not None:
            fail_waiter(waiter, build_error())

    def make_room(self, caller: str, servers: int) -> None:
        """Refuse the newest waiter of the application with the most for its weight.

        Args:
            caller: Application of the request that needs room in the queue.
            servers: Connections that serve the queue.

        Raises:
            RequestError: QUEUE_FULL if no other application has more waiters for its
                weight.
        """
        name = self.find_fullest()
        fullest = self.callers[name]
        caller_queue = self.callers.get(caller)
        waiting_count = len(caller_queue.waiters) if caller_queue is not None else 0
        load = len(fullest.waiters) / fullest.weight
        if (waiting_count + 1) / self.weights.get(caller, 1) >= load:
            raise self.build_refusal(ErrorKind.QUEUE_FULL, "", servers)
        self.refuse_newest(name, servers)

    def requeue(self, waiter: Waiter, servers: int) -> None:
        """Queue a request again whose granted slot could not be used.

        It keeps its place in the order of arrival. If the queue has filled up
        meanwhile, the newest waiter of the application with the most waiters for its
        weight is refused.

        Args:
            waiter: The request.
            servers: Connections that serve the queue.
        """
        self.insert(waiter)
        if self.count > self.limit:
            self.refuse_newest(self.find_fullest(), servers)

    def find_fullest(self) -> str:
        """Return the application with the most waiters for its weight."""
        return max(
            self.callers,
            key=lambda name: (
                len(self.callers[name].waiters) / self.callers[name].weight
            ),
        )

    def refuse_newest(self, name: str, servers: int) -> None:
        """Refuse the newest waiter of an application.

        Args:
            name: Name of the application.
            servers: Connections that serve the queue.
        """
        waiter = self.callers[name].waiters[-1]
        self.discard(waiter)
        fail_waiter(waiter, self.build_refusal(ErrorKind.QUEUE_FULL, "", servers))

    def estimate_wait(self, caller: str, servers: int) -> float:
        """Return the expected wait of a new request of an application, in seconds.

        Args:
            caller: Name of the application.
            servers: Connections that serve the queue.
        """
        caller_queue = self.callers.get(caller)
        rank = 1 + (len(caller_queue.waiters) if caller_queue is not None else 0)
        weight = self.weights.get(caller, 1)
        ahead = float(rank)
        for name, queue in self.callers.items():
            if name != caller:
                ahead += min(len(queue.waiters), rank * queue.weight / weight)
        return self.estimator.estimate_wait(ahead, servers)

    def build_refusal(self, kind: ErrorKind, reason: str, servers: int) -> RequestError:
        """Build a refusal with a retry-after time.

        Args:
            kind: Kind of refusal.
            reason: Why the request is refused.
            servers: Connections that serve the queue.

        Returns:
            The error.
        """
        retry_after_s = self.estimator.schedule_retry(self.count, servers)
        return RequestError(kind, reason, retry_after_s)


def fail_waiter(waiter: Waiter, error: Exception) -> None:
    """End one wait with an error.

    Args:
        waiter: The request.
        error: The error.
    """
    if waiter.granted is not None and not waiter.granted.done():
        waiter.granted.set_exception(error)
