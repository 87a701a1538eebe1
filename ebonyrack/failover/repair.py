"""Repair of detached upstreams, which do not follow the current primary."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ebonyrack.core.clock import now_s
from ebonyrack.core.logs import log_decision
from ebonyrack.core.tasks import end_tasks
from ebonyrack.failover.ballot import send_follow_order

if TYPE_CHECKING:
    from ebonyrack.upstreams.group import DatabaseGroup
    from ebonyrack.upstreams.upstream import Upstream

# Delay per coordinator rank; rank 0 acts at once.
RANK_DELAY_S = 0.3
# Minimum time between two orders to the same upstream.
ORDER_INTERVAL_S = 0.5


class Repair:
    """Reattaches upstreams that restarted or still follow an earlier primary.

    Attributes:
        group: The group.
        detached_since_s: Maps an upstream's name to the monotonic time since which
            it does not follow the current primary.
        ordered_at_s: Maps an upstream's name to the monotonic time of the last order.
        tasks: Orders in progress.
    """

    __slots__ = ("group", "detached_since_s", "ordered_at_s", "tasks")

    def __init__(self, group: DatabaseGroup) -> None:
        self.group = group
        self.detached_since_s: dict[str, float] = {}
        self.ordered_at_s: dict[str, float] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def check(self, rank: int) -> None:
        """Order every detached upstream to follow the primary.

        Args:
            rank: Coordinator rank of this proxy.
        """
        primary = self.group.primary()
        if primary is None:
            return
        for upstream in self.group.upstreams.values():
            if upstream is primary or not self.is_detached(upstream):
                self.detached_since_s.pop(upstream.name, None)
                continue
            since_s = self.detached_since_s.setdefault(upstream.name, now_s())
            ordered_s = self.ordered_at_s.get(upstream.name, 0.0)
            is_due = now_s() - since_s >= rank * RANK_DELAY_S
            if is_due and now_s() - ordered_s >= ORDER_INTERVAL_S:
                self.start_order(upstream, primary)

    def is_detached(self, upstream: Upstream) -> bool:
        """Check whether an upstream answers but does not follow the current primary.

        Args:
            upstream: An upstream other than the primary.

        Returns:
            Whether it does not follow, or has received nothing for too long, and has
            not seen a higher term than the group's, which only `Renewal` can solve.
        """
        status = upstream.status
        if not upstream.is_reachable or status is None:
            return False
        if status.fenced_term > self.group.term or status.term > self.group.term:
            return False
        if not upstream.is_following(self.group.term):
            return True
        silence_s = status.silence_s or 0.0
        return silence_s > self.group.section.lag_refusal_s

    def start_order(self, upstream: Upstream, primary: Upstream) -> None:
        """Send one order in a new task.

        Args:
            upstream: The detached upstream.
            primary: The primary to follow.
        """
        self.ordered_at_s[upstream.name] = now_s()
        log_decision(
            "follow_ordered",
            group=self.group.name,
            upstream=upstream.name,
            primary=primary.name,
            term=self.group.term,
        )
        task = asyncio.create_task(
            send_follow_order(upstream, self.group.term, primary)
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def close(self) -> None:
        """Cancel the orders in progress."""
        tasks = tuple(self.tasks)
        await end_tasks(tasks)
