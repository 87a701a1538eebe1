"""The coordinator of a group: detection, pre-vote, ballot, repair and switchover."""

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
from ebonyrack.failover.detector import Suspicion
from ebonyrack.failover.detector import SuspicionReason
from ebonyrack.failover.pre_vote import ask_peers
from ebonyrack.failover.ranking import COORDINATORS
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

# A wake-up that comes later than this shows that the process was paused.
PAUSE_LIMIT_S = 0.25
# Each rank waits this much longer before it acts.
RANK_DELAY_S = 0.25
RECHECK_INTERVAL_S = 0.02
# A proxy that doesn't coordinate the group looks this often whether it has become one.
RANK_CHECK_S = 1.0
FIRST_BACKOFF_S = 0.05
LONGEST_BACKOFF_S = 1.0
NO_TERM_PAUSE_S = 1.0


class Coordinator(Component):
    """Watches one group and replaces its primary when that fails.

    Attributes:
        group: The group.
        terms: Source of terms.
        hub: Links to the other proxies.
        membership: Table of proxies.
        safeguards: Safeguards; all are on unless a test switches one off.
        rank: Place among the coordinators, or None if this proxy is none of them.
        detector: Judges the primary.
        repair: Orders upstreams that are astray to follow.
        switchover: Moves the primary on request or when it is leaving.
        slowness: Moves a primary that answers, but slowly.
        renewal: Brings back upstreams that are fenced above the primary's term.
        failures: Ballots lost in a row.
        highest_term: Highest term that an upstream is known to have granted.
        has_membership_changed: Whether the rank is to be worked out again.
        pause: Notices pauses of this process.
        ballot_lock: Held by the ballot in work.
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
        self.pause = PauseDetector(PAUSE_LIMIT_S)
        self.ballot_lock = asyncio.Lock()
        self.has_membership_changed = True
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to watch over the group."""
        self.membership.subscribe(self.note_member)
        self.update_rank()
        self.task = asyncio.create_task(self.run())

    async def stop(self) -> None:
        """End its task and its repairs."""
        await end_tasks([self.task])
        self.task = None
        await self.repair.close()
        self.membership.callbacks.remove(self.note_member)
        self.group.coordinator_rank = None

    def note_member(self, member: Member) -> None:
        """Work the rank out again after a change of any proxy.

        Args:
            member: The proxy that changed.
        """
        self.has_membership_changed = True

    async def run(self) -> None:
        """Watch the group for ever."""
        while True:
            if self.rank is None:
                await self.group.changed.wait(RANK_CHECK_S)
                self.update_rank()
                continue
            interval_s = self.group.section.probe_interval_s
            self.pause.schedule(interval_s)
            await self.group.changed.wait(interval_s)
            pause_s = self.pause.measure_pause()
            self.update_rank()
            if self.rank is None:
                continue
            if pause_s:
                await self.revalidate(pause_s)
                continue
            try:
                await self.watch_once(self.rank)
            except Exception:
                # A fault in one round must not end the watch over the group.
                logger.bind(group=self.group.name).exception("coordinator_failed")
                await asyncio.sleep(LONGEST_BACKOFF_S)

    def update_rank(self) -> None:
        """Work out whether and in which place this proxy coordinates the group."""
        if not self.has_membership_changed:
            return
        self.has_membership_changed = False
        names = [member.name for member in self.membership.live_members()]
        ranking = rank_members(self.group.name, names)[:COORDINATORS]
        own_name = self.membership.local.name
        rank = ranking.index(own_name) if own_name in ranking else None
        if rank != self.rank:
            log_decision("coordinator_rank", group=self.group.name, rank=rank)
        self.rank = rank
        self.group.coordinator_rank = rank

    async def revalidate(self, pause_s: float) -> None:
        """Learn the state of the group afresh after this process was paused.

        Args:
            pause_s: Seconds of the pause.
        """
        logger.bind(group=self.group.name, pause_s=pause_s).warning("pause_noticed")
        self.detector.unfit_since_s = None
        await self.group.poll_all()

    async def watch_once(self, rank: int) -> None:
        """Judge the primary once and do what is needed.

        Args:
            rank: Place of this proxy among the coordinators.
        """
        if self.ballot_lock.locked():
            # A switchover is in work; what it does to the group is no failure.
            return
        suspicion = self.detector.judge()
        if suspicion is not None:
            await self.react(suspicion, rank)
            return
        self.failures = 0
        self.repair.check(rank)
        if rank == 0:
            await self.switchover.check()
            await self.slowness.check()
        await self.renewal.check(rank)

    async def react(self, suspicion: Suspicion, rank: int) -> None:
        """Replace the primary if the peers agree and it is this proxy's turn.

        Args:
            suspicion: What is wrong with the primary.
            rank: Place of this proxy among the coordinators.
        """
        term = self.group.term
        parts = {"detection_s": now_s() - suspicion.since_s}
        started_s = now_s()
        if not await self.is_granted(suspicion):
            await asyncio.sleep(RECHECK_INTERVAL_S)
            return
        parts["pre_vote_s"] = now_s() - started_s
        started_s = now_s()
        if not await self.wait_turn(rank):
            return
        parts["rank_delay_s"] = now_s() - started_s
        if self.ballot_lock.locked() or self.group.term > term:
            return
        excluded = None
        if suspicion.reason is SuspicionReason.CUT_FROM_REPLICAS:
            excluded = self.group.primary_name
        outcome = await self.hold_ballot(
            str(suspicion.reason), parts, excluded=excluded
        )
        if not outcome.won:
            await self.back_off()

    async def is_granted(self, suspicion: Suspicion) -> bool:
        """Ask the peers whether a ballot may begin.

        Args:
            suspicion: What is wrong with the primary.

        Returns:
            Whether it may.
        """
        if not self.safeguards.asks_peers:
            return True
        term = self.group.term
        vote = await ask_peers(
            self.group, self.hub, self.membership, suspicion.reason.needs_votes
        )
        # Replicas that heard nothing outweigh peers that can't be asked.
        witnessed = self.group.term == term and self.detector.is_witnessed()
        log_decision(
            "pre_vote",
            group=self.group.name,
            reason=str(suspicion.reason),
            upstream=self.group.primary_name,
            term=self.group.term,
            granted=vote.granted,
            asked=vote.asked,
            reached=vote.reached,
            unreached=vote.unreached,
            witnessed=witnessed,
        )
        return vote.granted or witnessed

    async def wait_turn(self, rank: int) -> bool:
        """Let the proxies of lower ranks act first.

        Args:
            rank: Place of this proxy among the coordinators.

        Returns:
            Whether the primary is still held for failed when the turn comes.
        """
        term = self.group.term
        delay_s = rank * RANK_DELAY_S
        policy = ACKNOWLEDGE_POLICIES.get(self.group.section.acknowledge_policy)()
        delay_s += policy.compute_promotion_delay(self.group)
        deadline_s = now_s() + delay_s
        while now_s() < deadline_s:
            await self.group.changed.wait(deadline_s - now_s())
            if self.group.term > term or self.detector.judge() is None:
                return False
        return self.detector.judge() is not None

    async def hold_ballot(
        self,
        reason: str,
        parts: dict[str, float],
        preferred: str | None = None,
        excluded: str | None = None,
    ) -> BallotOutcome:
        """Hold one ballot in a term of its own.

        Args:
            reason: Why, for the log.
            parts: Seconds of the steps so far, by name.
            preferred: Upstream to promote among equally advanced ones, or None.
            excluded: Upstream that must not be promoted, or None.

        Returns:
            How it ended.
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
        parts.update(outcome.parts)
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
            gap_s=round(sum(parts.values()), 4),
            **{name: round(seconds, 4) for name, seconds in parts.items()},
        )
        return outcome

    def find_highest_term(self) -> int:
        """Return the highest term that any upstream is known to have seen."""
        seen = (item.highest_term for item in self.group.upstreams.values())
        return max(self.highest_term, self.group.term, *seen)

    async def back_off(self) -> None:
        """Wait before the next ballot, longer after each that was lost."""
        delay_s = min(LONGEST_BACKOFF_S, FIRST_BACKOFF_S * 2**self.failures)
        self.failures = min(self.failures + 1, 10)
        await asyncio.sleep(random.uniform(delay_s / 2, delay_s))

    async def switch_over(self, to: str | None = None) -> SwitchoverOutcome:
        """Move the primary to another upstream without losing or cutting requests.

        Args:
            to: Upstream to promote, or None for the most advanced replica.

        Returns:
            Whether it succeeded, and how or why not.
        """
        return await self.switchover.run(to, forced=False)
