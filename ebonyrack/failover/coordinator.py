"""Failover coordinator of a group: detection, pre-vote, ballot and repair."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from loguru import logger

from ebonyrack.core.clock import PauseDetector
from ebonyrack.core.clock import now_s
from ebonyrack.core.component import Component
from ebonyrack.core.logs import log_decision
from ebonyrack.core.tasks import end_tasks
from ebonyrack.failover.ballot import Ballot
from ebonyrack.failover.ballot import BallotOutcome
from ebonyrack.failover.detector import Detector
from ebonyrack.failover.detector import FailureReason
from ebonyrack.failover.detector import PrimaryFailure
from ebonyrack.failover.pre_vote import collect_votes
from ebonyrack.failover.ranking import COORDINATORS_PER_GROUP
from ebonyrack.failover.ranking import rank_members
from ebonyrack.failover.renewal import Renewal
from ebonyrack.failover.repair import Repair
from ebonyrack.failover.safeguards import Safeguards
from ebonyrack.failover.slowness import SlownessCheck
from ebonyrack.failover.switchover import Switchover
from ebonyrack.failover.switchover import SwitchoverOutcome
from ebonyrack.peers.primary_messages import PrimarySeen
from ebonyrack.routing.write_path import ACKNOWLEDGE_POLICIES

if TYPE_CHECKING:
    from ebonyrack.failover.terms import TermSource
    from ebonyrack.peers.hub import PeerHub
    from ebonyrack.peers.member import Member
    from ebonyrack.peers.membership import Membership
    from ebonyrack.upstreams.group import DatabaseGroup

# A wake-up that is late by more than this means that the process was paused.
PAUSE_LIMIT_S = 0.25
# Delay per coordinator rank before a ballot, so that rank 0 acts first.
RANK_DELAY_S = 0.25
RECHECK_INTERVAL_S = 0.02
# How often a proxy that is not a coordinator of the group updates its rank.
RANK_CHECK_S = 1.0
FIRST_BACKOFF_S = 0.05
LONGEST_BACKOFF_S = 1.0
NO_TERM_PAUSE_S = 1.0


class Coordinator(Component):
    """Monitors one group and replaces its primary when it fails.

    Attributes:
        group: The group.
        terms: Source of terms.
        hub: Links to the other proxies.
        membership: Membership table of the proxies.
        safeguards: Safety rules; tests may disable one.
        rank: Rank among the group's coordinators, 0 for the first, or None if this
            proxy is not a coordinator.
        detector: Assesses the health of the primary.
        repair: Orders detached upstreams to follow the primary.
        switchover: Moves the primary on request or when it is leaving.
        slowness: Moves a primary that answers slowly.
        renewal: Brings back upstreams that are fenced above the primary's term.
        failures: Consecutive failed ballots.
        highest_term: Highest term that an upstream is known to have granted.
        lacks_majority: Whether a failed primary can't be replaced for now, as too few
            upstreams answer.
        has_membership_changed: Whether the rank must be computed again.
        pause_detector: Detects pauses of this process.
        ballot_lock: Held while a ballot runs.
        task: Monitors the group.
    """

    def __init__(
        self,
        group: DatabaseGroup,
        terms: TermSource,
        hub: PeerHub,
        membership: Membership,
        safeguards: Safeguards | None = None,
    ) -> None:
        self.group = group
        self.terms = terms
        self.hub = hub
        self.membership = membership
        self.safeguards = safeguards or Safeguards()
        self.rank: int | None = None
        self.detector = Detector(group)
        self.repair = Repair(group)
        self.switchover = Switchover(self)
        self.renewal = Renewal(self)
        self.slowness = SlownessCheck(self)
        self.failures = 0
        self.highest_term = 0
        self.lacks_majority = False
        self.pause_detector = PauseDetector(PAUSE_LIMIT_S)
        self.ballot_lock = asyncio.Lock()
        self.has_membership_changed = True
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to monitor the group."""
        self.membership.subscribe(self.handle_member_change)
        self.update_rank()
        self.task = asyncio.create_task(self.run())

    async def stop(self) -> None:
        """Stop the monitoring task and outstanding repair orders."""
        await end_tasks([self.task])
        self.task = None
        await self.repair.close()
        self.membership.callbacks.remove(self.handle_member_change)
        self.group.coordinator_rank = None

    def handle_member_change(self, member: Member) -> None:
        """Schedule an update of the rank after a membership change.

        Args:
            member: The proxy that changed.
        """
        self.has_membership_changed = True

    async def run(self) -> None:
        """Check the group periodically until cancelled."""
        while True:
            if self.rank is None:
                await self.group.changed.wait(RANK_CHECK_S)
                self.update_rank()
                continue
            interval_s = self.group.section.probe_interval_s
            self.pause_detector.schedule(interval_s)
            await self.group.changed.wait(interval_s)
            pause_s = self.pause_detector.measure_pause()
            self.update_rank()
            if self.rank is None:
                continue
            if pause_s:
                await self.revalidate(pause_s)
                continue
            try:
                await self.check_group(self.rank)
            except Exception:
                # An unexpected error in one check must not end the monitoring.
                logger.bind(group=self.group.name).exception("coordinator_failed")
                await asyncio.sleep(LONGEST_BACKOFF_S)

    def update_rank(self) -> None:
        """Compute this proxy's coordinator rank if the membership has changed."""
        if not self.has_membership_changed:
            return
        self.has_membership_changed = False
        names = [member.name for member in self.membership.live_members()]
        ranking = rank_members(self.group.name, names)[:COORDINATORS_PER_GROUP]
        local_name = self.membership.local.name
        rank = ranking.index(local_name) if local_name in ranking else None
        if rank != self.rank:
            log_decision("coordinator_rank", group=self.group.name, rank=rank)
        self.rank = rank
        self.group.coordinator_rank = rank

    async def revalidate(self, pause_s: float) -> None:
        """Discard outdated state and poll the group after a pause of this process.

        Args:
            pause_s: Length of the pause in seconds.
        """
        logger.bind(group=self.group.name, pause_s=pause_s).warning("pause_noticed")
        self.detector.demoted_since_s = None
        await self.group.poll_all()

    async def check_group(self, rank: int) -> None:
        """Assess the primary once and act on the result.

        Args:
            rank: Coordinator rank of this proxy.
        """
        if self.ballot_lock.locked():
            # A switchover is running its ballot, whose effects are not failures.
            return
        failure = self.detector.assess_primary()
        if failure is not None:
            await self.handle_failure(failure, rank)
            return
        self.failures = 0
        self.repair.check(rank)
        if rank == 0:
            await self.switchover.check()
            await self.slowness.check()
        await self.renewal.check(rank)

    async def handle_failure(self, failure: PrimaryFailure, rank: int) -> None:
        """Replace the primary after a granted pre-vote and the delay of the rank.

        Args:
            failure: The detected failure of the primary.
            rank: Coordinator rank of this proxy.
        """
        if not self.has_majority(failure):
            await asyncio.sleep(RECHECK_INTERVAL_S)
            return
        term = self.group.term
        durations_s = {"detection_s": now_s() - failure.since_s}
        started_s = now_s()
        if not await self.run_pre_vote(failure):
            await asyncio.sleep(RECHECK_INTERVAL_S)
            return
        durations_s["pre_vote_s"] = now_s() - started_s
        started_s = now_s()
        if not await self.wait_before_ballot(rank):
            return
        durations_s["rank_delay_s"] = now_s() - started_s
        if self.ballot_lock.locked() or self.group.term > term:
            return
        excluded = None
        if failure.reason is FailureReason.CUT_FROM_REPLICAS:
            excluded = self.group.primary_name
        outcome = await self.run_ballot(
            str(failure.reason), durations_s, excluded=excluded
        )
        if not outcome.won:
            await self.back_off()

    def has_majority(self, failure: PrimaryFailure) -> bool:
        """Return whether enough upstreams answer for a ballot to be won.

        Any other ballot would only fence those that are left, and a primary that was
        taken for lost could not go on when it is seen again.

        Args:
            failure: The detected failure of the primary.
        """
        upstreams = self.group.upstreams.values()
        reachable = [each.name for each in upstreams if each.is_reachable]
        lacks_majority = len(reachable) < self.group.majority
        if lacks_majority != self.lacks_majority:
            self.lacks_majority = lacks_majority
            log_decision(
                "ballot_majority",
                group=self.group.name,
                reason=str(failure.reason),
                present=not lacks_majority,
                reachable=reachable,
                needed=self.group.majority,
            )
        return not lacks_majority

    async def run_pre_vote(self, failure: PrimaryFailure) -> bool:
        """Ask the peers whether a ballot may begin.

        Args:
            failure: The detected failure of the primary.

        Returns:
            Whether the ballot may begin.
        """
        if not self.safeguards.needs_pre_vote:
            return True
        term = self.group.term
        vote = await collect_votes(
            self.group, self.hub, self.membership, failure.reason.needs_votes
        )
        # Replicas that lost contact with the primary overrule the peers' votes, which
        # may be missing.
        witnessed = (
            self.group.term == term and self.detector.is_loss_confirmed_by_replicas()
        )
        log_decision(
            "pre_vote",
            group=self.group.name,
            reason=str(failure.reason),
            upstream=self.group.primary_name,
            term=self.group.term,
            granted=vote.granted,
            asked=vote.asked,
            reached=vote.reached,
            unreached=vote.unreached,
            witnessed=witnessed,
        )
        return vote.granted or witnessed

    async def wait_before_ballot(self, rank: int) -> bool:
        """Wait until this rank may act and the acknowledge policy allows a promotion.

        The delay of the rank lets lower ranks act first.

        Args:
            rank: Coordinator rank of this proxy.

        Returns:
            Whether the primary still counts as failed after the delay.
        """
        term = self.group.term
        delay_s = rank * RANK_DELAY_S
        policy = ACKNOWLEDGE_POLICIES.get(self.group.section.acknowledge_policy)()
        delay_s += policy.compute_promotion_delay(self.group)
        deadline_s = now_s() + delay_s
        while now_s() < deadline_s:
            await self.group.changed.wait(deadline_s - now_s())
            if self.group.term > term or self.detector.assess_primary() is None:
                return False
        return self.detector.assess_primary() is not None

    async def run_ballot(
        self,
        reason: str,
        durations_s: dict[str, float],
        preferred: str | None = None,
        excluded: str | None = None,
    ) -> BallotOutcome:
        """Run one ballot in a new term.

        Args:
            reason: Reason that is logged.
            durations_s: Durations of the steps so far in seconds, by log field name;
                those of the ballot are added.
            preferred: Upstream to promote among equally advanced ones, or None.
            excluded: Upstream that must not be promoted, or None.

        Returns:
            The result.
        """
        async with self.ballot_lock:
            term = self.terms.next_term(self.find_highest_term())
            if term is None:
                logger.bind(group=self.group.name).error("no_term_reserved")
                await asyncio.sleep(NO_TERM_PAUSE_S)
                return BallotOutcome(reason="no term could be reserved")

            def broadcast(primary_name: str) -> None:
                self.hub.broadcast(PrimarySeen(self.group.name, term, primary_name))

            replaced = self.group.primary_name
            ballot = Ballot(
                self.group, term, preferred, excluded, self.safeguards, broadcast
            )
            outcome = await ballot.run()
            self.highest_term = max(self.highest_term, outcome.highest_term)
        durations_s.update(outcome.durations_s)
        log_decision(
            "ballot",
            group=self.group.name,
            won=outcome.won,
            reason=reason,
            failure=outcome.reason,
            term=term,
            replaced=replaced,
            upstream=outcome.primary_name,
            grants={name: str(g.received) for name, g in ballot.grants.items()},
            gap_s=round(sum(durations_s.values()), 4),
            **{name: round(seconds, 4) for name, seconds in durations_s.items()},
        )
        return outcome

    def find_highest_term(self) -> int:
        """Return the highest term known from any upstream or earlier ballot."""
        seen = (item.highest_term for item in self.group.upstreams.values())
        return max(self.highest_term, self.group.term, *seen)

    async def back_off(self) -> None:
        """Wait before the next ballot, with exponential backoff and jitter."""
        delay_s = min(LONGEST_BACKOFF_S, FIRST_BACKOFF_S * 2**self.failures)
        self.failures = min(self.failures + 1, 10)
        await asyncio.sleep(random.uniform(delay_s / 2, delay_s))

    async def switch_over(self, to: str | None = None) -> SwitchoverOutcome:
        """Move the primary to another upstream without lost or interrupted requests.

        Args:
            to: Name of the upstream to promote, or None for the most advanced
                replica.

        Returns:
            The result.
        """
        return await self.switchover.run(to, forced=False)
