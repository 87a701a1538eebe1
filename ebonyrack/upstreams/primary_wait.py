"""Bounded queue of the requests that wait for a primary."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ebonyrack.pooling.admission import AdmissionQueue
from ebonyrack.pooling.admission import Waiter
from ebonyrack.pooling.wait_estimator import WaitEstimator

if TYPE_CHECKING:
    from ebonyrack.config.sections import GroupSection
    from ebonyrack.core.notifier import Notifier
    from ebonyrack.upstreams.upstream import Upstream


class PrimaryWait:
    """Requests that wait for a primary, at most as many as its pool's queue may hold.

    All of them wake up when the group changes, and move on to the queue of the
    primary's pool once there is one. A request beyond that queue's limit is rejected
    immediately: it would be rejected later anyway, together with all the others.

    Attributes:
        changed: Notified when the group changes.
        queue: The waiting requests.
    """

    __slots__ = ("changed", "queue")

    def __init__(self, changed: Notifier) -> None:
        self.changed = changed
        self.queue = AdmissionQueue(0)

    def build_waiter(self, caller: str, deadline_s: float) -> Waiter:
        """Build a queue entry for a request that does not wait yet.

        Args:
            caller: Application name of the caller.
            deadline_s: Monotonic time at which the request times out.

        Returns:
            The entry, with its position in the order of arrival.
        """
        return Waiter(caller, deadline_s, next(self.queue.arrivals))

    def switch_primary(
        self, primary: Upstream | None, previous: Upstream | None
    ) -> None:
        """Carry the measured service time of writes over to a new primary.

        The new primary's own service time was measured on reads, or not at all, and
        would give rejected callers a retry-after that is much too short.

        Args:
            primary: The new primary, or None.
            previous: The previous primary, or None.
        """
        if previous is not None:
            previous.pool.queue.estimator = WaitEstimator()
        if primary is not None:
            primary.pool.queue.estimator = self.queue.estimator

    async def wait(
        self,
        waiter: Waiter,
        wait_s: float,
        section: GroupSection,
        last_primary: Upstream | None,
    ) -> None:
        """Wait until the group changes.

        Args:
            waiter: The request; it keeps its position if it has waited before.
            wait_s: Longest time to wait, in seconds.
            section: Section of the group.
            last_primary: Upstream whose connection limit is used to estimate the wait,
                or None.

        Raises:
            RequestError: QUEUE_FULL or WAIT_TOO_LONG; nothing was sent.
        """
        queue = self.queue
        queue.limit = section.queue_limit
        if waiter.granted is not None:
            queue.insert(waiter)
        else:
            servers = last_primary.pool.current_limit if last_primary else 1
            queue.add(waiter, servers)
        try:
            await self.changed.wait(wait_s, waiter.granted)
        finally:
            queue.discard(waiter)
