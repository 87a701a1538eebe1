"""Faults that tests and experiments inject into one stand-in upstream."""

from __future__ import annotations

import asyncio
from typing import Self

PROXIES = "proxies"


class UpstreamFaults:
    """Switches that delay or drop an upstream's traffic.

    A cut link queues its bytes and delivers them after it is healed, as TCP does.

    Attributes:
        is_frozen: Whether the upstream neither reads nor sends anything.
        cut_from: Peers whose bytes don't arrive at this upstream.
        cut_to: Peers at which this upstream's bytes don't arrive.
        answer_delay_s: Extra delay before each reply, in seconds.
        lost_commit_answers: Number of further commits that take effect with their
            reply lost.
    """

    __slots__ = (
        "is_frozen",
        "cut_from",
        "cut_to",
        "answer_delay_s",
        "lost_commit_answers",
        "changed",
    )

    def __init__(self) -> None:
        self.is_frozen = False
        self.cut_from: set[str] = set()
        self.cut_to: set[str] = set()
        self.answer_delay_s = 0.0
        self.lost_commit_answers = 0
        self.changed = asyncio.Event()

    def apply(
        self,
        frozen: bool | None = None,
        cut_from: set[str] | None = None,
        cut_to: set[str] | None = None,
    ) -> Self:
        """Change the given switches and wake all waiters."""
        if frozen is not None:
            self.is_frozen = frozen
        if cut_from is not None:
            self.cut_from = cut_from
        if cut_to is not None:
            self.cut_to = cut_to
        self.changed.set()
        self.changed = asyncio.Event()
        return self

    def can_receive(self, peer: str) -> bool:
        """Return whether bytes of a peer arrive."""
        return not self.is_frozen and peer not in self.cut_from

    def can_send(self, peer: str) -> bool:
        """Return whether bytes to a peer arrive."""
        return not self.is_frozen and peer not in self.cut_to

    async def wait_receivable(self, peer: str) -> None:
        """Wait until bytes of a peer arrive."""
        while not self.can_receive(peer):
            await self.changed.wait()

    async def wait_sendable(self, peer: str) -> None:
        """Wait until bytes to a peer arrive."""
        while not self.can_send(peer):
            await self.changed.wait()

    def consume_lost_commit_answer(self) -> bool:
        """Return whether a commit's reply is to be lost; if so, count it down."""
        if not self.lost_commit_answers:
            return False
        self.lost_commit_answers -= 1
        return True
