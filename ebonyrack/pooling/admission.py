"""Bounded waiting for a connection: fairness, refusal at once, time to come back."""

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
    """One request for a connection.

    Attributes:
        caller: Name of the application that asks.
        deadline_s: Monotonic time at which the request gives up.
        number: Place in the order of arrival.
        granted: Set when a place is granted; carries what the granter hands over.
    """

    __slots__ = ("caller", "deadline_s", "number", "granted")

    def __init__(self, caller: str, deadline_s: float, number: int) -> None:
        self.caller = caller
        self.deadline_s = deadline_s
        self.number = number
        self.granted: asyncio.Future[Any] | None = None


@dataclass(slots=True)
class CallerQueue:
    """The waiters of one application.

    Attributes:
        weight: Share of the application relative to the others.
        progress: Grants so far divided by the weight, on the queue's virtual clock.
        waiters: Waiters in order of arrival.
    """

    weight: int
    progress: float = 0.0
    waiters: deque[Waiter] = field(default_factory=deque)


class AdmissionQueue:
    """Bounded queue, served in proportion to the weights of the applications.

    The application with the least progress is served next (stride scheduling), so
    a flood from one application costs the others nothing but its own share. When
    the queue is full, the newest waiter of the application that holds the most for
    its weight gives way to one that holds less.

    Attributes:
        limit: Largest number of waiters.
        weights: Weight by application; others count 1.
        callers: Queues of the applications that have waiters.
        virtual_time: Progress of the application served last.
        count: Number of waiters.
        estimator: How fast its requests are served.
        arrivals: Numbers for requests in the order of arrival.
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
            RequestError: WAIT_TOO_LONG if the expected wait passes the deadline,
                QUEUE_FULL if there is no room.
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
        """Put a request into its application's queue, in the order of arrival.

        Args:
            waiter: The request, which may have been granted a place before.
        """
        waiter.granted = asyncio.get_running_loop().create_future()
        queue = self.callers.get(waiter.caller)
        if queue is None:
            weight = self.weights.get(waiter.caller, 1)
            queue = CallerQueue(weight, self.virtual_time)
            self.callers[waiter.caller] = queue
        place = len(queue.waiters)
        while place > 0 and queue.waiters[place - 1].number > waiter.number:
            place -= 1
        queue.waiters.insert(place, waiter)
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
        """Remove a waiter that gives up; one that was taken already is ignored.

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
        """Forget an application without waiters.

        Args:
            name: Name of the application.
        """
        if not self.callers[name].waiters:
            del self.callers[name]

    def fail_all(self, build_error: Callable[[], Exception]) -> None:
        """End every wait with an error.

        Args:
            build_error: Builds the error of one waiter.
        """
        while (waiter := self.pop()) is not None:
            fail_waiter(waiter, build_error())

    def make_room(self, caller: str, servers: int) -> None:
        """Refuse the newest waiter of the application that holds the most.

        Args:
            caller: Application of the request that needs the room.
            servers: Connections that serve the queue.

        Raises:
            RequestError: QUEUE_FULL if no other application holds more.
        """
        name = self.find_fullest()
        fullest = self.callers[name]
        own = self.callers.get(caller)
        held = len(own.waiters) if own is not None else 0
        load = len(fullest.waiters) / fullest.weight
        if (held + 1) / self.weights.get(caller, 1) >= load:
            raise self.build_refusal(ErrorKind.QUEUE_FULL, "", servers)
        self.refuse_newest(name, servers)

    def put_back(self, waiter: Waiter, servers: int) -> None:
        """Queue a request again that was granted a place which came to nothing.

        It keeps its rank. If the queue was filled meanwhile, the newest waiter of
        the application that holds the most is refused.

        Args:
            waiter: The request.
            servers: Connections that serve the queue.
        """
        self.insert(waiter)
        if self.count > self.limit:
            self.refuse_newest(self.find_fullest(), servers)

    def find_fullest(self) -> str:
        """Return the application that holds the most for its weight."""
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
        own = self.callers.get(caller)
        place = 1 + (len(own.waiters) if own is not None else 0)
        weight = self.weights.get(caller, 1)
        ahead = float(place)
        for name, queue in self.callers.items():
            if name != caller:
                ahead += min(len(queue.waiters), place * queue.weight / weight)
        return self.estimator.estimate_wait(ahead, servers)

    def build_refusal(self, kind: ErrorKind, reason: str, servers: int) -> RequestError:
        """Build a refusal with a time to come back.

        Args:
            kind: Kind of refusal.
            reason: What happened.
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
