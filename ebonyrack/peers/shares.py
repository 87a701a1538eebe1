"""Number of proxies among which an upstream's connections are divided."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ebonyrack.core.clock import now_s
from ebonyrack.core.component import Component
from ebonyrack.core.tasks import end_tasks
from ebonyrack.peers.member import Member
from ebonyrack.peers.member import MemberState
from ebonyrack.peers.membership import Membership

LOST_SHARE_HOLD_S = 2.0
LOST_PROXY_RETENTION_S = 600.0


class ShareCount(Component):
    """Counts the proxies that share connections: an async context manager.

    A proxy that was lost without announcing that it leaves is counted for another
    `LOST_SHARE_HOLD_S` seconds, since upstreams may not have noticed yet. While
    most of the recently known proxies are lost, this one may be the one that is cut
    off; it then leaves them half of the shares.

    Attributes:
        membership: The table of proxies.
        lost_at_s: Time at which each proxy was lost that did not announce its leaving.
        leaving: Names of the proxies that announced that they leave.
        callbacks: Called when the share of a lost proxy is released.
    """

    __slots__ = ("membership", "lost_at_s", "leaving", "callbacks", "has_loss", "task")

    def __init__(self, membership: Membership) -> None:
        self.membership = membership
        self.lost_at_s: dict[str, float] = {}
        self.leaving: set[str] = set()
        self.callbacks: list[Callable[[], None]] = []
        self.has_loss = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to follow membership changes."""
        self.membership.subscribe(self.handle_member_change)
        self.task = asyncio.create_task(self.report_released_shares())

    async def stop(self) -> None:
        """Stop the task that reports released shares."""
        await end_tasks([self.task])

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Register a function to call when a lost proxy's share is released."""
        self.callbacks.append(callback)

    def handle_member_change(self, member: Member) -> None:
        """Record which proxies leave and which were lost."""
        if member.state is MemberState.LEAVING:
            self.leaving.add(member.name)
        elif member.state is not MemberState.DEAD:
            self.leaving.discard(member.name)
            self.lost_at_s.pop(member.name, None)
        elif member.name in self.leaving:
            self.leaving.discard(member.name)
        else:
            self.lost_at_s[member.name] = now_s()
            self.has_loss.set()

    def count(self) -> int:
        """Return the number of proxies to divide by, at least 1."""
        live = max(1, self.membership.live_count)
        current_s = now_s()
        lost = [current_s - lost_at_s for lost_at_s in self.lost_at_s.values()]
        held = sum(1 for age_s in lost if age_s < LOST_SHARE_HOLD_S)
        known = live + sum(1 for age_s in lost if age_s < LOST_PROXY_RETENTION_S)
        return max(live + held, (known + 1) // 2)

    def remove_old_losses(self) -> None:
        """Remove the proxies that were lost long ago."""
        limit_s = now_s() - LOST_PROXY_RETENTION_S
        for name, lost_at_s in list(self.lost_at_s.items()):
            if lost_at_s < limit_s:
                del self.lost_at_s[name]

    async def report_released_shares(self) -> None:
        """Notify the subscribers when the share of a lost proxy is released."""
        while True:
            await self.has_loss.wait()
            self.has_loss.clear()
            await asyncio.sleep(LOST_SHARE_HOLD_S)
            self.remove_old_losses()
            for callback in tuple(self.callbacks):
                callback()
