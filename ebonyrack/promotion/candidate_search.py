"""Searches the replica to be promoted after the loss of a primary.

It must hold all acknowledged commits; the other replicas are paused and compared.
"""

from __future__ import annotations

import asyncio

from loguru import logger

from ebonyrack.core.position import LogPosition
from ebonyrack.placing.primary_health import PrimaryHealth
from ebonyrack.placing.promotion_candidate import CommitEvidence
from ebonyrack.placing.promotion_candidate import choose_candidate
from ebonyrack.placing.promotion_candidate import choose_successor
from ebonyrack.placing.promotion_candidate import holds_departed
from ebonyrack.placing.promotion_candidate import holds_primary_log
from ebonyrack.placing.promotion_candidate import is_safe_candidate
from ebonyrack.promotion.change_participants import ChangeParticipants
from ebonyrack.promotion.participant import LOST_PRIMARY_TIMEOUT_S
from ebonyrack.promotion.participant import PromotionParticipant
from ebonyrack.promotion.primary_proof import is_serving_primary
from ebonyrack.promotion.result import PromotionResult
from ebonyrack.requests.request import STATUS_REQUEST

# Pause between checks of replicas that must catch up or reply.
RECHECK_PAUSE_S = 0.05
# An attempt that finds no successor ends this long before its lease, to end its pauses.
RESUME_ALLOWANCE_S = 0.3
# In these health states a primary that proves its role is not replaced.
CLEARED_BY_PROOF = frozenset(
    {PrimaryHealth.SILENT, PrimaryHealth.REFUSING, PrimaryHealth.UNKNOWN}
)


class CandidateSearch(ChangeParticipants, kw_only=True):
    """The search for the replica to be promoted, during one promotion.

    Attributes:
        health: Health state of the primary.
        required_id: The only upstream that may be promoted, or None for any.
        is_primary_reached: Whether the primary of the newest term that is known replied
            when the search began.
        primary_position: End of its log, or None if it isn't known.
        has_stepped_down: Whether it is a replica now, so that its log ends there.
    """

    health: PrimaryHealth
    required_id: str | None = None
    is_primary_reached: bool = False
    primary_position: LogPosition | None = None
    has_stepped_down: bool = False

    def __post_init__(self) -> None:
        leading = self.leading
        status = leading.status if leading is not None else None
        if status is not None and not self.is_outdated(status):
            self.is_primary_reached = True
            self.primary_position = status.received

    async def run(self) -> PromotionParticipant | PromotionResult:
        """Pause the other replicas and wait until the candidate holds all they hold.

        Returns:
            The candidate, or the result of the attempt if none is safe.
        """
        while self.lease.remaining_s > RESUME_ALLOWANCE_S:
            await self.end_outdated_leads()
            self.admit_replaced()
            await self.update_replicas()
            if self.has_serving_primary:
                return PromotionResult.NOT_NEEDED
            candidate = self.choose()
            if candidate is not None and candidate.leads:
                # It may have been too busy for the probe that shows it.
                if await is_serving_primary(self.group, candidate, self.term - 1):
                    return PromotionResult.NOT_NEEDED
                if await self.wait_for_recovery():
                    return PromotionResult.NOT_NEEDED
                continue
            if not self.may_become_safe(candidate):
                # A pause would keep the primary's commits from a replica.
                if self.is_primary_reached:
                    return self.find_fallback()
                if await self.wait_for_recovery():
                    return PromotionResult.NOT_NEEDED
                continue
            await self.pause_others(candidate)
            if candidate is not None and candidate.status is not None:
                if await self.is_safe(candidate):
                    return candidate
                # While a replica is silent, pausing the candidate achieves nothing and
                # would stall commits if the primary is only unreachable from here.
                if self.all_reply:
                    await self.pause(candidate)
            if await self.wait_for_recovery():
                return PromotionResult.NOT_NEEDED
        return PromotionResult.NO_SAFE_SUCCESSOR

    async def wait_for_recovery(self) -> bool:
        """Wait a moment; return whether the primary serves after all."""
        self.log_unsafe()
        await asyncio.sleep(RECHECK_PAUSE_S)
        has_primary_recovered, _ = await asyncio.gather(
            self.has_primary_recovered(), self.refresh_replicas()
        )
        return has_primary_recovered

    def may_become_safe(self, candidate: PromotionParticipant | None) -> bool:
        """Return whether a replica may be promoted once the others are compared."""
        if candidate is None or candidate.status is None:
            return True
        if self.group.limits.acknowledging_replicas == 0:
            return True
        position, evidence = candidate.status.received, self.build_evidence()
        return holds_primary_log(position, evidence) or holds_departed(
            position, evidence
        )

    def find_fallback(self) -> PromotionParticipant | PromotionResult:
        """Return the primary itself if nothing but earlier pauses stalls it.

        Its next term ends them. Otherwise it isn't interrupted.
        """
        leading = self.leading
        replying = [each for each in self.replicas if each.status is not None]
        is_paused = all(each.is_paused_by_another for each in replying)
        if leading is None or not replying or not is_paused:
            return PromotionResult.NO_SAFE_SUCCESSOR
        if not self.is_term_known:
            return PromotionResult.NO_SAFE_SUCCESSOR
        if self.required_id not in (None, leading.member.member_id):
            return PromotionResult.NO_SAFE_SUCCESSOR
        return leading

    def find_holder(self) -> PromotionParticipant | None:
        """Return the best replica that holds the primary's whole log, None without one.

        An earlier order may leave only one upstream that may be promoted.
        """
        end = self.primary_position
        if end is None or not self.is_term_known:
            return None
        allowed = [
            each
            for each in self.list_states()
            if self.required_id in (None, each.member_id)
        ]
        holder = self.find(choose_successor(allowed, end))
        return holder if holder is not None and self.holds_all(holder) else None

    def choose(self) -> PromotionParticipant | None:
        """Return the replica to be promoted, None without one."""
        return self.find(self.required_id or choose_candidate(self.list_states()))

    async def is_safe(self, candidate: PromotionParticipant) -> bool:
        """Update the candidate's status; return whether it may be promoted."""
        if not candidate.is_paused:
            await candidate.request_status(STATUS_REQUEST)
        if not self.holds_all(candidate):
            return False
        if not self.pauses_candidate:
            return True
        await self.pause(candidate)
        return candidate.is_paused and self.holds_all(candidate)

    def holds_all(self, candidate: PromotionParticipant) -> bool:
        """Return whether a replica holds every commit that was acknowledged."""
        return is_safe_candidate(
            candidate.member.member_id,
            self.list_states(),
            self.group.limits.acknowledging_replicas,
            self.build_evidence(),
        )

    def build_evidence(self) -> CommitEvidence:
        """Return what is known of acknowledged commits besides the replicas' logs."""
        departures = self.group.departures
        may_primary_return = any(
            each.member.entry_missing_since_s is None
            and self.group.members.get(each.member.member_id) is each.member
            for each in self.former
        )
        return CommitEvidence(
            newest_acknowledged=self.group.newest_acknowledged,
            primary_position=self.primary_position if self.is_term_known else None,
            # What was there before this proxy knew the group may have left as well.
            may_have_departed=self.is_primary_reached
            or (departures.has_departed and may_primary_return),
            departed_position=departures.position,
        )

    @property
    def is_term_known(self) -> bool:
        """Whether the primary that replies leads the newest term for certain.

        An earlier holder of the lease may have promoted a replica that doesn't reply.
        """
        if not self.is_primary_reached:
            return False
        return self.all_reply or not any(
            each.is_paused_by_another for each in self.replicas
        )

    async def has_primary_recovered(self) -> bool:
        """Return whether the primary that seemed lost proves its role after all."""
        if self.health not in CLEARED_BY_PROOF:
            return False
        for participant in self.former:
            if participant.link is None or not participant.link.is_open:
                await participant.connect_directly(LOST_PRIMARY_TIMEOUT_S)
            else:
                await participant.request_status(STATUS_REQUEST)
            if await is_serving_primary(self.group, participant, self.term - 1):
                return True
        return False

    async def end_lead(self, former: PromotionParticipant) -> None:
        """Make the primary a replica, and record the end of its log.

        Its commits don't count any more then, also with replicas that aren't paused.
        """
        if not self.lease.is_held:
            self.primary_position = None
            return
        status = await former.step_down(self.term)
        self.has_stepped_down = status is not None and not status.is_primary
        self.primary_position = (
            status.received if status is not None and self.has_stepped_down else None
        )
        if self.has_stepped_down:
            # Not its term: reads of a stated age still need the positions of its log.
            self.group.record_not_primary(former.member)

    def log_unsafe(self) -> None:
        """Log why no replica can be promoted yet."""
        logger.bind(
            group=self.group.name,
            required=self.required_id,
            acknowledged=str(self.group.newest_acknowledged),
            primary=str(self.primary_position),
            departed=str(self.group.departures.position),
            replicas={
                each.member_id: f"{each.received} paused={each.is_paused}"
                for each in self.list_states()
            },
        ).warning("promotion_waits")
