"""One ballot: a term is granted by a majority and its primary promoted."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from transitions import Machine

from ebonyrack.core.clock import now_s
from ebonyrack.core.tasks import end_tasks
from ebonyrack.upstreams.connection import UpstreamLostError
from ebonyrack.upstreams.contract import FenceResult
from ebonyrack.upstreams.status import Role
from ebonyrack.upstreams.status import UpstreamStatus

if TYPE_CHECKING:
    from collections.abc import Callable

    from ebonyrack.core.position import LogPosition
    from ebonyrack.failover.safeguards import Safeguards
    from ebonyrack.upstreams.group import DatabaseGroup
    from ebonyrack.upstreams.upstream import Upstream

FENCE_TIMEOUT_S = 0.4
# Once a majority has granted, answers under way are waited for this long.
FENCE_GRACE_S = 0.01
# The upstream that is to be promoted may be farther away than the others.
PREFERRED_GRACE_S = 0.1
PROMOTE_TIMEOUT_S = 0.5
FOLLOW_TIMEOUT_S = 0.5
OPEN_TIMEOUT_S = 2.0

LIFE_CYCLE = Machine(
    model=None,
    states=["created", "fencing", "promoting", "opening", "won", "lost"],
    initial="created",
    transitions=[
        ["begin_fencing", "created", "fencing"],
        ["begin_promoting", "fencing", "promoting"],
        ["begin_opening", "promoting", "opening"],
        ["win", "opening", "won"],
        ["lose", ["fencing", "promoting", "opening"], "lost"],
    ],
    auto_transitions=False,
)


@dataclass(slots=True)
class BallotOutcome:
    """How a ballot ended.

    Attributes:
        won: Whether a primary was promoted and opened.
        reason: Why not, or an empty string.
        primary_name: The promoted upstream, or None.
        highest_term: Highest term that an upstream is known to have granted.
        parts: Seconds for each step, by name.
    """

    won: bool = False
    reason: str = ""
    primary_name: str | None = None
    highest_term: int = 0
    parts: dict[str, float] = field(default_factory=dict)


class Ballot:
    """One attempt to make an upstream primary in a term.

    Attributes:
        group: The group.
        term: The term, never used by another ballot.
        preferred: Upstream to promote among equally advanced ones, or None.
        excluded: Upstream that must not be promoted, or None. It is fenced too, but
            the majority is counted without it, so nothing that it alone holds was
            acknowledged.
        safeguards: Safeguards.
        on_promoted: Called as soon as the promotion was answered.
        grants: Answers of the upstreams that granted the term.
        outcome: How it ended.
        state: Step of the life cycle.
    """

    state: str
    begin_fencing: Callable[[], bool]
    begin_promoting: Callable[[], bool]
    begin_opening: Callable[[], bool]
    win: Callable[[], bool]
    lose: Callable[[], bool]

    def __init__(
        self,
        group: DatabaseGroup,
        term: int,
        preferred: str | None,
        excluded: str | None,
        safeguards: Safeguards,
        on_promoted: Callable[[str], None],
    ) -> None:
        self.group = group
        self.term = term
        self.preferred = preferred
        self.excluded = excluded
        self.safeguards = safeguards
        self.on_promoted = on_promoted
        self.grants: dict[str, FenceResult] = {}
        self.outcome = BallotOutcome(highest_term=term)
        self.tasks: set[asyncio.Task[None]] = set()
        LIFE_CYCLE.add_model(self)

    async def run(self) -> BallotOutcome:
        """Run the ballot to its end.

        Returns:
            How it ended.
        """
        try:
            await self.run_steps()
        finally:
            tasks = tuple(self.tasks)
            await end_tasks(tasks)
            LIFE_CYCLE.remove_model(self)
        return self.outcome

    async def run_steps(self) -> None:
        """Go through the steps; each notes how long it took."""
        started_s = now_s()
        self.begin_fencing()
        await self.fence()
        started_s = self.note_part("fence_s", started_s)
        winner = self.choose_winner()
        if winner is None:
            return
        self.begin_promoting()
        start = await self.promote(winner)
        started_s = self.note_part("promotion_s", started_s)
        if start is None:
            return
        self.begin_opening()
        self.outcome.primary_name = winner.name
        self.announce(winner, start)
        await self.open(winner, start)
        self.note_part("opening_s", started_s)

    def note_part(self, name: str, started_s: float) -> float:
        """Note the time of a step.

        Args:
            name: Name of the part.
            started_s: Monotonic time at which the step began.

        Returns:
            Monotonic time now.
        """
        now = now_s()
        self.outcome.parts[name] = now - started_s
        return now

    def give_up(self, reason: str) -> None:
        """End the ballot without a primary.

        Args:
            reason: What went wrong.
        """
        self.outcome.reason = reason
        self.lose()

    async def fence(self) -> None:
        """Ask every upstream for a grant; ends with a majority or the timeout."""
        pending = {
            asyncio.create_task(self.fence_one(upstream))
            for upstream in self.group.upstreams.values()
        }
        self.tasks |= pending
        deadline_s = now_s() + FENCE_TIMEOUT_S
        while pending and now_s() < deadline_s:
            _, pending = await asyncio.wait(
                pending,
                timeout=deadline_s - now_s(),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if len(self.list_candidates()) >= self.group.majority:
                is_awaited = self.preferred not in (None, *self.grants)
                grace_s = PREFERRED_GRACE_S if is_awaited else FENCE_GRACE_S
                deadline_s = min(deadline_s, now_s() + grace_s)

    async def fence_one(self, upstream: Upstream) -> None:
        """Ask one upstream for a grant and keep its answer.

        Args:
            upstream: The upstream.
        """
        contract = upstream.contract
        try:
            answer = await upstream.call(
                contract.build_fence(self.term), FENCE_TIMEOUT_S
            )
            grant = contract.parse_grant(answer.rows[0])
        except (UpstreamLostError, ValueError):
            return
        self.outcome.highest_term = max(self.outcome.highest_term, grant.fenced_term)
        if grant.granted:
            self.grants[upstream.name] = grant

    def choose_winner(self) -> Upstream | None:
        """Choose the upstream to promote, or give the ballot up.

        Returns:
            The upstream with the highest position among the grants of a majority.
        """
        if self.outcome.highest_term > self.term:
            self.give_up(f"an upstream has granted {self.outcome.highest_term}")
            return None
        needed = self.group.majority if self.safeguards.needs_majority else 1
        candidates = self.list_candidates()
        if len(candidates) < needed:
            self.give_up(f"{len(candidates)} grants, {needed} needed")
            return None
        if not self.safeguards.picks_highest:
            return min(candidates, key=self.rank_candidate)
        return max(candidates, key=self.rank_candidate)

    def list_candidates(self) -> list[Upstream]:
        """Return the upstreams that granted the term and may be promoted."""
        return [
            self.group.upstreams[name]
            for name in self.grants
            if name != self.excluded and self.is_counted(name)
        ]

    def is_counted(self, name: str) -> bool:
        """Tell whether a grant may count; that of an upstream without its log can't.

        Args:
            name: Name of an upstream that granted the term.

        Returns:
            Whether it still holds what it was counted with in confirmations.
        """
        upstream = self.group.upstreams.get(name)
        if upstream is None:
            return False
        return upstream.confirmed_log.holds(self.grants[name].received)

    def rank_candidate(self, upstream: Upstream) -> tuple[LogPosition, bool, bool, str]:
        """Return the key by which candidates compare.

        Args:
            upstream: An upstream that granted the term.

        Returns:
            Its position; then whether it is preferred, stays, and its name.
        """
        return (
            self.grants[upstream.name].received,
            upstream.name == self.preferred,
            not upstream.is_leaving,
            upstream.name,
        )

    async def promote(self, winner: Upstream) -> LogPosition | None:
        """Order the promotion.

        Args:
            winner: The upstream to promote.

        Returns:
            Position of the term-start record, or None if it did not happen.
        """
        contract = winner.contract
        try:
            answer = await winner.call(
                contract.build_promote(self.term), PROMOTE_TIMEOUT_S
            )
            return contract.parse_promotion(answer.rows[0])
        except (UpstreamLostError, ValueError) as error:
            return await self.settle_lost_answer(winner, str(error))

    async def settle_lost_answer(
        self, winner: Upstream, reason: str
    ) -> LogPosition | None:
        """Ask whether a promotion without an answer took effect.

        Args:
            winner: The upstream that was to be promoted.
            reason: What happened to the answer.

        Returns:
            Its last position if it is primary in the term, or None.
        """
        try:
            status = await winner.poll()
        except UpstreamLostError:
            status = None
        if status is not None and winner.is_primary_in(self.term):
            return status.received
        self.give_up(f"promotion of {winner.name} failed: {reason}")
        return None

    def announce(self, winner: Upstream, start: LogPosition) -> None:
        """Let this proxy and its peers know the new primary.

        Args:
            winner: The new primary.
            start: Position of its term-start record.
        """
        leaving = winner.status is not None and winner.status.leaving
        winner.record_status(
            UpstreamStatus(Role.PRIMARY, self.term, self.term, start, start, leaving),
            now_s(),
        )
        self.on_promoted(winner.name)

    async def open(self, winner: Upstream, start: LogPosition) -> None:
        """Let the others follow and wait until a majority holds the term's start.

        Args:
            winner: The new primary.
            start: Position of its term-start record.
        """
        for upstream in self.group.upstreams.values():
            if upstream is not winner:
                self.tasks.add(
                    asyncio.create_task(order_follow(upstream, self.term, winner))
                )
        try:
            async with asyncio.timeout(OPEN_TIMEOUT_S):
                opened = await self.group.wait_for_majority(start)
        except TimeoutError:
            opened = False
        if not opened:
            self.give_up("no majority holds the start of the term")
            return
        self.outcome.won = True
        self.win()


async def order_follow(upstream: Upstream, term: int, primary: Upstream) -> None:
    """Order an upstream to follow a primary; a failure is left to a later order.

    Args:
        upstream: The upstream.
        term: Term of the primary.
        primary: The primary.
    """
    sql = upstream.contract.build_follow(term, primary.spec.address)
    try:
        await upstream.call(sql, FOLLOW_TIMEOUT_S)
        await upstream.poll()
    except UpstreamLostError:
        return
