"""Bounded waiting until a database group has a primary."""

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
    """Requests that wait for a primary, as many as the queue of its pool may hold.

    All are woken when the group changes, and those that find a primary go on to the
    queue of its pool. One more than that queue holds is refused at once: it would be
    refused later, and together with all others.

    Attributes:
        changed: Notified when the group changes.
        queue: The requests.
    """

    __slots__ = ("changed", "queue")

    def __init__(self, changed: Notifier) -> None:
        self.changed = changed
        self.queue = AdmissionQueue(0)

    def build_waiter(self, caller: str, deadline_s: float) -> Waiter:
        """Build a request that does not wait yet.

        Args:
            caller: Name of the application that asks.
            deadline_s: Monotonic time at which it gives up.

        Returns:
            The request, with its place in the order of arrival.
        """
        return Waiter(caller, deadline_s, next(self.queue.arrivals))

    def serve_by(self, primary: Upstream | None, previous: Upstream | None) -> None:
        """Let a new primary go on with the pace at which writes were served.

        Its own tells of reads, or of nothing, and callers that it refuses would be
        told to come back much too early.

        Args:
            primary: The new primary, or None.
            previous: The primary before it, or None.
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
            waiter: The request, which keeps its place if it has waited before.
            wait_s: Seconds to wait at most.
            section: Section of the group.
            last_primary: Upstream whose connections tell how long the queue takes,
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
