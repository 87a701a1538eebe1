"""Ballot: a majority grants a new term, then the term's primary is promoted."""

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
# Wait for outstanding replies once a majority has granted the term.
FENCE_GRACE_S = 0.01
# Longer wait for the preferred upstream, which may be farther away than the others.
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
    """Result of a ballot.

    Attributes:
        won: Whether a primary was promoted and a majority holds the term's start.
        reason: Why the ballot failed, or an empty string.
        primary_name: The promoted upstream, or None.
        highest_term: Highest term that an upstream is known to have granted.
        durations_s: Duration of each step in seconds, by log field name.
    """

    won: bool = False
    reason: str = ""
    primary_name: str | None = None
    highest_term: int = 0
    durations_s: dict[str, float] = field(default_factory=dict)


class Ballot:
    """One attempt to promote an upstream in a new term.

    Attributes:
        group: The group.
        term: The term; unique to this ballot.
        preferred: Upstream to promote among equally advanced ones, or None.
        excluded: Upstream that must not be promoted, or None. It is fenced too, but
            does not count towards the majority, so a write that only it holds was
            never acknowledged.
        safeguards: Safety rules to enforce.
        on_promoted: Called as soon as the promotion has succeeded.
        grants: Replies of the upstreams that granted the term, by name.
        outcome: Result of the ballot.
        tasks: Requests to upstreams that may still be running.
        state: State in the life cycle.
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
        """Run all steps and clean up.

        Returns:
            The result.
        """
        try:
            await self.run_steps()
        finally:
            tasks = tuple(self.tasks)
            await end_tasks(tasks)
            LIFE_CYCLE.remove_model(self)
        return self.outcome

    async def run_steps(self) -> None:
        """Run the steps in order and record the duration of each."""
        started_s = now_s()
        self.begin_fencing()
        await self.fence()
        started_s = self.record_duration("fence_s", started_s)
        candidate = self.choose_candidate()
        if candidate is None:
            return
        self.begin_promoting()
        start = await self.promote(candidate)
        started_s = self.record_duration("promotion_s", started_s)
        if start is None:
            return
        self.begin_opening()
        self.outcome.primary_name = candidate.name
        self.announce(candidate, start)
        await self.open(candidate, start)
        self.record_duration("opening_s", started_s)

    def record_duration(self, name: str, started_s: float) -> float:
        """Record the duration of a step.

        Args:
            name: Log field name of the duration.
            started_s: Monotonic time at which the step began.

        Returns:
            The current monotonic time.
        """
        now = now_s()
        self.outcome.durations_s[name] = now - started_s
        return now

    def fail(self, reason: str) -> None:
        """End the ballot without a new primary.

        Args:
            reason: Why it failed.
        """
        self.outcome.reason = reason
        self.lose()

    async def fence(self) -> None:
        """Request a grant from every upstream; wait for a majority or the timeout."""
        pending = {
            asyncio.create_task(self.request_grant(upstream))
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

    async def request_grant(self, upstream: Upstream) -> None:
        """Request a grant from one upstream and record its reply.

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

    def choose_candidate(self) -> Upstream | None:
        """Choose the upstream to promote; fail the ballot if there is none.

        Returns:
            The upstream with the highest log position among those that granted the
            term, or None.
        """
        if self.outcome.highest_term > self.term:
            self.fail(f"an upstream granted higher term {self.outcome.highest_term}")
            return None
        needed = self.group.majority if self.safeguards.needs_majority else 1
        candidates = self.list_candidates()
        if len(candidates) < needed:
            self.fail(f"{len(candidates)} grants, {needed} needed")
            return None
        if not self.safeguards.promotes_most_advanced:
            return min(candidates, key=self.rank_candidate)
        return max(candidates, key=self.rank_candidate)

    def list_candidates(self) -> list[Upstream]:
        """Return the upstreams with a valid grant that may be promoted."""
        return [
            self.group.upstreams[name]
            for name in self.grants
            if name != self.excluded and self.is_grant_valid(name)
        ]

    def is_grant_valid(self, name: str) -> bool:
        """Check that an upstream did not lose its log before it granted the term.

        Args:
            name: Name of an upstream that granted the term.

        Returns:
            Whether it still holds every write that it helped to confirm.
        """
        upstream = self.group.upstreams.get(name)
        if upstream is None:
            return False
        return upstream.confirmed_log.holds(self.grants[name].received)

    def rank_candidate(self, upstream: Upstream) -> tuple[LogPosition, bool, bool, str]:
        """Return the sort key of a promotion candidate; the highest is the best.

        Args:
            upstream: An upstream that granted the term.

        Returns:
            Its log position, then whether it is preferred, whether it is not
            leaving, and its name.
        """
        return (
            self.grants[upstream.name].received,
            upstream.name == self.preferred,
            not upstream.is_leaving,
            upstream.name,
        )

    async def promote(self, candidate: Upstream) -> LogPosition | None:
        """Promote the candidate.

        Args:
            candidate: The upstream to promote.

        Returns:
            Log position of the term-start record, or None if it was not promoted.
        """
        contract = candidate.contract
        try:
            answer = await candidate.call(
                contract.build_promote(self.term), PROMOTE_TIMEOUT_S
            )
            return contract.parse_promotion(answer.rows[0])
        except (UpstreamLostError, ValueError) as error:
            return await self.resolve_unknown_promotion(candidate, str(error))

    async def resolve_unknown_promotion(
        self, candidate: Upstream, reason: str
    ) -> LogPosition | None:
        """Poll the candidate to find out whether an unanswered promotion took effect.

        Args:
            candidate: The upstream that was to be promoted.
            reason: Why there was no valid reply.

        Returns:
            Its log position if it is primary in the term, or None.
        """
        try:
            status = await candidate.poll()
        except UpstreamLostError:
            status = None
        if status is not None and candidate.is_primary_in(self.term):
            return status.received
        self.fail(f"promotion of {candidate.name} failed: {reason}")
        return None

    def announce(self, candidate: Upstream, start: LogPosition) -> None:
        """Announce the new primary to this proxy and its peers.

        Args:
            candidate: The new primary.
            start: Log position of its term-start record.
        """
        leaving = candidate.status is not None and candidate.status.leaving
        candidate.record_status(
            UpstreamStatus(Role.PRIMARY, self.term, self.term, start, start, leaving),
            now_s(),
        )
        self.on_promoted(candidate.name)

    async def open(self, candidate: Upstream, start: LogPosition) -> None:
        """Order the others to follow; wait until a majority holds the term's start.

        Args:
            candidate: The new primary.
            start: Log position of its term-start record.
        """
        for upstream in self.group.upstreams.values():
            if upstream is not candidate:
                self.tasks.add(
                    asyncio.create_task(
                        send_follow_order(upstream, self.term, candidate)
                    )
                )
        try:
            async with asyncio.timeout(OPEN_TIMEOUT_S):
                opened = await self.group.wait_for_majority(start)
        except TimeoutError:
            opened = False
        if not opened:
            self.fail("no majority received the start of the term")
            return
        self.outcome.won = True
        self.win()


async def send_follow_order(upstream: Upstream, term: int, primary: Upstream) -> None:
    """Order an upstream to follow a primary; on failure, `Repair` sends it again.

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
