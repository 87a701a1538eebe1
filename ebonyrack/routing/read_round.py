"""One round of polls for the highest log position that upstreams have received."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.upstreams.connection import UpstreamLostError
from ebonyrack.upstreams.status import UpstreamStatus

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ebonyrack.core.position import LogPosition
    from ebonyrack.upstreams.group import DatabaseGroup
    from ebonyrack.upstreams.upstream import Upstream

# The remaining upstreams, such as the primary, are polled too if too few have answered
# by then.
HEDGE_DELAY_S = 0.005
RETRY_AFTER_S = 0.2

Poll = asyncio.Task[UpstreamStatus]


class PollRound:
    """Polls of upstreams until enough have answered, replicas before the primary.

    The replicas' positions are lower than the primary's, so a read that has to see the
    position is served earlier and does not wait for writes in progress.

    Attributes:
        needed: Number of answers that are needed.
        polls: Polls in flight, with the upstreams that are polled.
        reserve: Upstreams that are polled if the first ones are late or lost.
    """

    __slots__ = ("needed", "polls", "reserve")

    def __init__(
        self, group: DatabaseGroup, upstreams: Iterable[Upstream], needed: int
    ) -> None:
        """Start the first polls.

        Args:
            group: The database group.
            upstreams: Upstreams that may be polled.
            needed: Number of answers that are needed.
        """
        candidates = list(upstreams)
        first = choose_first(group, candidates, needed)
        self.needed = needed
        self.polls: dict[Poll, Upstream] = {}
        self.start(first)
        self.reserve = [item for item in candidates if item not in first]

    def start(self, upstreams: Iterable[Upstream]) -> None:
        """Poll some upstreams.

        Args:
            upstreams: The upstreams.
        """
        for upstream in upstreams:
            self.polls[upstream.start_poll()] = upstream

    async def collect(self) -> LogPosition:
        """Wait until enough have answered.

        Returns:
            Highest received position among the upstreams that answered.

        Raises:
            RequestError: NO_UPSTREAM if too few answer.
        """
        received: list[LogPosition] = []
        while len(received) < self.needed and (self.polls or self.reserve):
            done = self.pop_done()
            if not done:
                await self.wait_for_first()
                done = self.pop_done()
            # An upstream that lost its log may lack what an earlier majority held.
            answers = [
                read_answer(poll)
                for poll, upstream in done.items()
                if not upstream.is_regressed
            ]
            received += [item.received for item in answers if item is not None]
            if not done or len(received) + len(self.polls) < self.needed:
                self.start(self.reserve)
                self.reserve = []
        if len(received) < self.needed:
            reason = f"{len(received)} of {self.needed} upstreams answered"
            raise RequestError(ErrorKind.NO_UPSTREAM, reason, RETRY_AFTER_S)
        return max(received)

    def pop_done(self) -> dict[Poll, Upstream]:
        """Remove and return the polls that have ended."""
        done = {poll: self.polls[poll] for poll in self.polls if poll.done()}
        for poll in done:
            del self.polls[poll]
        return done

    async def wait_for_first(self) -> None:
        """Wait until one of the polls has ended or the reserve is due."""
        if not self.polls:
            return
        timeout_s = HEDGE_DELAY_S if self.reserve else None
        await asyncio.wait(
            self.polls, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
        )


def choose_first(
    group: DatabaseGroup, upstreams: list[Upstream], needed: int
) -> list[Upstream]:
    """Choose the upstreams to poll first.

    Args:
        group: The database group.
        upstreams: Upstreams that may be polled.
        needed: Number of answers that are needed.

    Returns:
        The replicas that may count in a majority if they are enough, else all
        upstreams.
    """
    replicas = [
        upstream
        for upstream in upstreams
        if upstream.counts_in_majority and upstream.name != group.primary_name
    ]
    return replicas if len(replicas) >= needed else upstreams


def read_answer(poll: Poll) -> UpstreamStatus | None:
    """Return the answer of a poll that has ended, or None if it failed.

    Args:
        poll: The poll; cancelled if its upstream was removed from the document.

    Raises:
        BaseException: If the poll failed for another reason than a lost upstream.
    """
    if poll.cancelled():
        return None
    error = poll.exception()
    if error is None:
        return poll.result()
    if isinstance(error, UpstreamLostError):
        return None
    raise error
