"""Decides in which order waiting requests are served, without input or output.

The load that it answers: one client account at seven times its usual rate beside 81
others in front of an upstream's few slots, and everyone back at once after many
processes were killed. First come first served lets the one account delay all others,
and serves requests that have become too late before others that haven't.

Requests wait in one queue for each caller name: the client account, or the database
where there are no accounts. The name with the least progress is served next (stride
scheduling), and inside a queue the most important request, then the oldest. Statements
of a transaction that is under way hold their connection and never wait here.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

from msgspec import Struct
from msgspec import field


def never_leaves() -> bool:
    """Return False: the caller is not known to have left."""
    return False


class WorkTerms(Struct, frozen=True):
    """How the work of a client account is queued.

    Attributes:
        priority: Importance among the requests of its account; 0 is served first.
        begins_transaction: Whether the connection is held for a transaction, in which
            the caller may rest.
        has_left: Returns whether the caller has closed its session.
        waits_for_room: Whether it waits for an upstream that has no connection to
            spare, because no other upstream may serve it.
    """

    priority: int = 0
    begins_transaction: bool = False
    has_left: Callable[[], bool] = never_leaves
    waits_for_room: bool = True


DEFAULT_TERMS = WorkTerms()


class Waiter:
    """A request that waits for a connection.

    Attributes:
        caller: Name in whose queue it waits.
        deadline_s: Monotonic time at which the request gives up.
        number: Sequence number of its arrival.
        account: Client account whose connections it may use; None for any.
        terms: How it is queued.
        granted: Future resolved to what the request is granted; None until the request
            is queued.
    """

    __slots__ = ("caller", "deadline_s", "number", "account", "terms", "granted")

    def __init__(
        self,
        caller: str,
        deadline_s: float,
        number: int,
        account: str | None = "",
        terms: WorkTerms = DEFAULT_TERMS,
    ) -> None:
        self.caller = caller
        self.deadline_s = deadline_s
        self.number = number
        self.account = account
        self.terms = terms
        self.granted: asyncio.Future[Any] | None = None

    @property
    def order(self) -> tuple[int, int]:
        """Place in its queue: by importance, then by arrival."""
        return self.terms.priority, self.number


class CallerQueue(Struct):
    """The waiters of one caller name.

    Attributes:
        weight: Weight relative to the others.
        progress: Grants so far divided by the weight, in the order's virtual time.
        waiters: Waiters in the order in which they are served.
    """

    weight: int
    progress: float = 0.0
    waiters: deque[Waiter] = field(default_factory=deque)


class FairOrder:
    """Waiting requests, served in proportion to the weights of their caller names.

    Attributes:
        weights: Weight by caller name; others count 1.
        callers: Queues of the names that have waiters.
        virtual_time: Progress of the name served last.
        count: Number of waiters.
    """

    __slots__ = ("weights", "callers", "virtual_time", "count")

    def __init__(self) -> None:
        self.weights: dict[str, int] = {}
        self.callers: dict[str, CallerQueue] = {}
        self.virtual_time = 0.0
        self.count = 0

    def __len__(self) -> int:
        return self.count

    def insert(self, waiter: Waiter) -> None:
        """Insert a request into its queue, by importance and arrival.

        Args:
            waiter: The request, which may have been granted a slot before.
        """
        queue = self.callers.get(waiter.caller)
        if queue is None:
            queue = CallerQueue(self.get_weight(waiter.caller), self.virtual_time)
            self.callers[waiter.caller] = queue
        index = len(queue.waiters)
        while index > 0 and queue.waiters[index - 1].order > waiter.order:
            index -= 1
        queue.waiters.insert(index, waiter)
        self.count += 1

    def pop(self, is_allowed: Callable[[Waiter], bool] | None = None) -> Waiter | None:
        """Remove and return the waiter to serve next, or None.

        Args:
            is_allowed: Returns whether a waiter may be served now; None allows all.
        """
        for name, queue in sorted(
            self.callers.items(), key=lambda item: item[1].progress
        ):
            waiter = queue.waiters[0]
            if is_allowed is not None and not is_allowed(waiter):
                continue
            queue.waiters.popleft()
            self.virtual_time = max(self.virtual_time, queue.progress)
            queue.progress += 1 / queue.weight
            self.drop_if_empty(name)
            self.count -= 1
            return waiter
        return None

    def discard(self, waiter: Waiter) -> None:
        """Remove a waiter that gives up; ignore one that has left already.

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
        """Remove the queue of a name that has no waiters."""
        if not self.callers[name].waiters:
            del self.callers[name]

    def find_fullest(self) -> str:
        """Return the name with the most waiters for its weight."""
        return max(
            self.callers,
            key=lambda name: (
                len(self.callers[name].waiters) / self.callers[name].weight
            ),
        )

    def get_weight(self, caller: str) -> int:
        """Return the weight of a caller name."""
        return self.weights.get(caller, 1)

    def count_waiting(self, caller: str, priority: int | None = None) -> int:
        """Return how many requests of a name wait.

        Args:
            caller: The name.
            priority: Count only what is at least as important; None counts all.
        """
        queue = self.callers.get(caller)
        if queue is None:
            return 0
        if priority is None:
            return len(queue.waiters)
        return sum(each.terms.priority <= priority for each in queue.waiters)

    def count_turns(self, caller: str, rank: int) -> float:
        """Return after how many grants a request of a name has been served.

        Args:
            caller: The name.
            rank: Place of the request in its queue; 1 is served first.
        """
        weight = self.get_weight(caller)
        turns = float(rank)
        for name, queue in self.callers.items():
            if name != caller:
                turns += min(len(queue.waiters), rank * queue.weight / weight)
        return turns

    def list_hopeless(
        self, now_s: float, grant_interval_s: float, service_s: float
    ) -> list[Waiter]:
        """Return requests of accounts that end too late, or that nobody waits for.

        Args:
            now_s: Monotonic time.
            grant_interval_s: Expected time between two grants, in seconds.
            service_s: Expected time for which a connection is held, in seconds.
        """
        hopeless = []
        for name, queue in self.callers.items():
            rank = 0
            for waiter in queue.waiters:
                if not waiter.account:
                    rank += 1
                    continue
                wait_s = self.count_turns(name, rank) * grant_interval_s
                ends_at_s = now_s + wait_s + service_s
                if waiter.terms.has_left() or ends_at_s > waiter.deadline_s:
                    hopeless.append(waiter)
                else:
                    rank += 1
        return hopeless
