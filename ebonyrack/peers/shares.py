"""By how many proxies an upstream's connections are divided."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ebonyrack.core.clock import now_s
from ebonyrack.core.component import Component
from ebonyrack.core.tasks import end_tasks
from ebonyrack.peers.member import Member
from ebonyrack.peers.member import MemberState
from ebonyrack.peers.membership import Membership

LINGER_S = 2.0
REMEMBER_LOST_S = 600.0


class ShareCount(Component):
    """Counts the proxies that share connections: an async context manager.

    A proxy that died without a word counts for `LINGER_S` more, since the upstream
    may not have noticed yet. While most of the proxies known lately are lost, this
    one may be the one that is cut off; it then leaves them half of the shares.

    Attributes:
        membership: The table of proxies.
        lost_at_s: Time of the death of each proxy that died without a word.
        leaving: Names of the proxies that said that they leave.
        callbacks: Called when a lingering share became free.
    """

    __slots__ = ("membership", "lost_at_s", "leaving", "callbacks", "lost", "task")

    def __init__(self, membership: Membership) -> None:
        self.membership = membership
        self.lost_at_s: dict[str, float] = {}
        self.leaving: set[str] = set()
        self.callbacks: list[Callable[[], None]] = []
        self.lost = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to follow the members."""
        self.membership.subscribe(self.notice_change)
        self.task = asyncio.create_task(self.report_free_shares())

    async def stop(self) -> None:
        """End the task that reports free shares."""
        await end_tasks([self.task])

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call a function when the count changed without a change of members."""
        self.callbacks.append(callback)

    def notice_change(self, member: Member) -> None:
        """Note who left and who was lost."""
        if member.state is MemberState.LEAVING:
            self.leaving.add(member.name)
        elif member.state is not MemberState.DEAD:
            self.leaving.discard(member.name)
            self.lost_at_s.pop(member.name, None)
        elif member.name in self.leaving:
            self.leaving.discard(member.name)
        else:
            self.lost_at_s[member.name] = now_s()
            self.lost.set()

    def count(self) -> int:
        """Return the number of proxies to divide by, at least 1."""
        live = max(1, self.membership.live_count)
        present_s = now_s()
        lost = [present_s - lost_at_s for lost_at_s in self.lost_at_s.values()]
        lingering = sum(1 for age_s in lost if age_s < LINGER_S)
        known = live + sum(1 for age_s in lost if age_s < REMEMBER_LOST_S)
        return max(live + lingering, (known + 1) // 2)

    def forget_lost(self) -> None:
        """Drop the proxies that were lost long ago."""
        limit_s = now_s() - REMEMBER_LOST_S
        for name, lost_at_s in list(self.lost_at_s.items()):
            if lost_at_s < limit_s:
                del self.lost_at_s[name]

    async def report_free_shares(self) -> None:
        """Tell the subscribers when a lingering share became free."""
        while True:
            await self.lost.wait()
            self.lost.clear()
            await asyncio.sleep(LINGER_S)
            self.forget_lost()
            for callback in tuple(self.callbacks):
                callback()
