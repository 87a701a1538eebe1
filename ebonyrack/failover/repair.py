"""Orders to upstreams that don't follow the present primary."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ebonyrack.core.clock import now_s
from ebonyrack.core.logs import log_decision
from ebonyrack.core.tasks import end_tasks
from ebonyrack.failover.ballot import order_follow

if TYPE_CHECKING:
    from ebonyrack.upstreams.group import DatabaseGroup
    from ebonyrack.upstreams.upstream import Upstream

# The coordinator of rank 0 acts after this time, each further rank that much later.
RANK_DELAY_S = 0.3
# An upstream is ordered again after this time.
ORDER_INTERVAL_S = 0.5


class Repair:
    """Brings back upstreams that restarted or followed an earlier primary.

    Attributes:
        group: The group.
        astray_since_s: Upstream's name to the monotonic time since which it does
            not follow the present primary.
        ordered_at_s: Upstream's name to the monotonic time of the last order.
        tasks: Orders in work.
    """

    __slots__ = ("group", "astray_since_s", "ordered_at_s", "tasks")

    def __init__(self, group: DatabaseGroup) -> None:
        self.group = group
        self.astray_since_s: dict[str, float] = {}
        self.ordered_at_s: dict[str, float] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def check(self, rank: int) -> None:
        """Order every upstream that is astray to follow the primary.

        Args:
            rank: Place of this proxy among the coordinators.
        """
        primary = self.group.primary()
        if primary is None:
            return
        for upstream in self.group.upstreams.values():
            if upstream is primary or not self.is_astray(upstream):
                self.astray_since_s.pop(upstream.name, None)
                continue
            since_s = self.astray_since_s.setdefault(upstream.name, now_s())
            ordered_s = self.ordered_at_s.get(upstream.name, 0.0)
            is_due = now_s() - since_s >= rank * RANK_DELAY_S
            if is_due and now_s() - ordered_s >= ORDER_INTERVAL_S:
                self.order(upstream, primary)

    def is_astray(self, upstream: Upstream) -> bool:
        """Tell whether an upstream answers but doesn't follow the present primary.

        Args:
            upstream: An upstream that isn't the primary.

        Returns:
            Whether an order can and should bring it back.
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

    def order(self, upstream: Upstream, primary: Upstream) -> None:
        """Send one order in a task of its own.

        Args:
            upstream: The upstream that is astray.
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
        task = asyncio.create_task(order_follow(upstream, self.group.term, primary))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def close(self) -> None:
        """End the orders in work."""
        tasks = tuple(self.tasks)
        await end_tasks(tasks)
