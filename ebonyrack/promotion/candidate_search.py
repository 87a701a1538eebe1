"""Searches the replica to be promoted after the loss of a primary.

It must hold all acknowledged commits; the other replicas are paused and compared.
"""

from __future__ import annotations

import asyncio

from loguru import logger
from msgspec import Struct

from ebonyrack.core.position import LogPosition
from ebonyrack.members.group import Group
from ebonyrack.members.member import Member
from ebonyrack.placing.primary_health import PrimaryHealth
from ebonyrack.placing.promotion_candidate import CommitEvidence
from ebonyrack.placing.promotion_candidate import ReplicaState
from ebonyrack.placing.promotion_candidate import choose_candidate
from ebonyrack.placing.promotion_candidate import holds_departed
from ebonyrack.placing.promotion_candidate import holds_primary_log
from ebonyrack.placing.promotion_candidate import is_safe_candidate
from ebonyrack.promotion.lease import PromotionLease
from ebonyrack.promotion.participant import LOST_PRIMARY_TIMEOUT_S
from ebonyrack.promotion.participant import PromotionParticipant
from ebonyrack.promotion.primary_proof import is_serving_primary
from ebonyrack.promotion.result import PromotionResult
from ebonyrack.requests.reply import UpstreamStatus
from ebonyrack.requests.request import RESUME_REQUEST
from ebonyrack.requests.request import STATUS_REQUEST

# Pause between checks of replicas that must catch up or reply.
RECHECK_PAUSE_S = 0.05
# An attempt that finds no successor ends this long before its lease, to end its pauses.
RESUME_ALLOWANCE_S = 0.3
# In these health states a primary that proves its role is not replaced.
CLEARED_BY_PROOF = frozenset(
    {PrimaryHealth.SILENT, PrimaryHealth.REFUSING, PrimaryHealth.UNKNOWN}
)


class CandidateSearch(Struct):
    """The search for the replica to be promoted, during one promotion.

    Attributes:
        group: The group.
        lease: The promotion lease.
        health: Health state of the primary.
        term: Term below which the replicas are paused.
        former: The primary until now, if it is known.
        replicas: All other upstreams.
        required_id: The only upstream that may be promoted, or None for any.
        is_primary_reached: Whether the primary of the newest term that is known replied
            when the search began.
        primary_position: End of its log, or None if it isn't known.
        has_stepped_down: Whether it is a replica now, so that its log ends there.
        has_serving_primary: Whether an upstream that has joined serves as the primary.
    """

    group: Group
    lease: PromotionLease
    health: PrimaryHealth
    term: int
    former: list[PromotionParticipant]
    replicas: list[PromotionParticipant]
    required_id: str | None = None
    is_primary_reached: bool = False
    primary_position: LogPosition | None = None
    has_stepped_down: bool = False
    has_serving_primary: bool = False

    def __post_init__(self) -> None:
        leading = self.leading
        status = leading.status if leading is not None else None
        if status is not None and not self.is_outdated(status):
            self.is_primary_reached = True
            self.primary_position = status.received

    def is_outdated(self, status: UpstreamStatus) -> bool:
        """Return whether an upstream that leads has been replaced in a later term."""
        return status.term + 1 < self.term

    @property
    def leading(self) -> PromotionParticipant | None:
        """The primary until now, if it replies and leads; None otherwise."""
        for participant in self.former:
            if participant.is_connected and participant.leads:
                return participant
        return None

    @property
    def pauses_candidate(self) -> bool:
        """Whether the candidate must be paused as well before the order.

        Where a replaced primary may go on, a replica that isn't paused shows the
        proxies that the primary leads, and a commit that it receives is acknowledged.
        """
        return self.group.leadership is not None

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
                await self.wait_for_recovery()
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

    def list_states(self) -> list[ReplicaState]:
        """Return the states of the replicas for the choice of the candidate."""
        return [build_replica_state(participant) for participant in self.replicas]

    @property
    def all_reply(self) -> bool:
        """Whether every replica has told its status."""
        return all(each.status is not None for each in self.replicas)

    def choose(self) -> PromotionParticipant | None:
        """Return the replica to be promoted, None without one."""
        return self.find(self.required_id or choose_candidate(self.list_states()))

    def find(self, member_id: str | None) -> PromotionParticipant | None:
        """Return a replica by its identity, None if it takes no part."""
        for participant in self.replicas:
            if participant.member.member_id == member_id:
                return participant
        return None

    async def end_outdated_leads(self) -> None:
        """Make primaries of older terms replicas, which can be paused."""
        for participant in self.former + self.replicas:
            status = participant.status
            if status is not None and participant.leads and self.is_outdated(status):
                await participant.step_down(self.term)

    def admit_replaced(self) -> None:
        """Compare a former primary that is a replica now like the other replicas.

        Its log may be the only one with some commits.
        """
        for participant in list(self.former):
            status = participant.status
            if status is not None and not status.is_primary:
                self.former.remove(participant)
                self.replicas.append(participant)
                self.group.record_not_primary(participant.member)

    async def update_replicas(self) -> None:
        """Adapt the replicas to the upstreams that have joined or are gone since."""
        for participant in list(self.replicas):
            if self.is_gone(participant.member):
                self.log_changed(participant, "promotion_without_upstream")
                self.replicas.remove(participant)
                participant.close()
        known = {id(each.member) for each in self.former + self.replicas}
        for member in list(self.group.members.values()):
            if id(member) not in known and not self.is_gone(member):
                participant = PromotionParticipant(member)
                self.replicas.append(participant)
                self.log_changed(participant, "promotion_with_upstream")
                await participant.connect_directly(LOST_PRIMARY_TIMEOUT_S)
                if await is_serving_primary(self.group, participant, self.term - 1):
                    self.has_serving_primary = True

    def is_gone(self, member: Member) -> bool:
        """Return whether an upstream has certainly left, so that it holds up nothing.

        Its entry was removed or is of another start, or its address is that of another
        replica, which has received its log.
        """
        if self.group.members.get(member.member_id) is not member:
            return True
        return member.liveness.is_replaced and any(
            other.member.entry.address == member.entry.address
            and other.status is not None
            for other in self.replicas
            if other.member is not member
        )

    def log_changed(self, participant: PromotionParticipant, event: str) -> None:
        """Log a replica that joined or left during the promotion."""
        logger.bind(group=self.group.name, upstream=participant.member.member_id).info(
            event
        )

    async def pause_others(self, candidate: PromotionParticipant | None) -> None:
        """Pause every replica but the candidate."""
        for participant in self.replicas:
            if participant is not candidate:
                await self.pause(participant)

    async def pause(self, participant: PromotionParticipant) -> None:
        """Pause a replica unless it is paused already."""
        if not participant.is_paused and self.lease.is_held:
            await participant.pause(self.term)

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

    async def refresh_replicas(self) -> None:
        """Update the status of unpaused replicas and reconnect to the silent ones."""
        await asyncio.gather(*(self.refresh(each) for each in self.replicas))

    async def refresh(self, participant: PromotionParticipant) -> None:
        """Update the status of an unpaused replica, or reconnect to it."""
        if not participant.is_connected:
            participant.is_paused = False
            await participant.connect()
        elif not participant.is_paused:
            await participant.request_status(STATUS_REQUEST)

    async def pause_returned(self, chosen: PromotionParticipant) -> None:
        """Pause replicas that have joined or come back; a restart ends a pause.

        Args:
            chosen: The upstream that was ordered to be promoted.
        """
        await self.update_replicas()
        for participant in list(self.replicas):
            if not participant.is_connected:
                participant.is_paused = False
                await participant.connect_directly(LOST_PRIMARY_TIMEOUT_S)
            status = participant.status
            if participant is chosen or participant.is_paused:
                continue
            if status is not None and not status.is_primary:
                await participant.pause(self.term)

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

    async def end_former_lead(self, chosen: PromotionParticipant) -> None:
        """Make the replaced primary a replica if it can be reached.

        Another proxy may still send it requests; without this it would go on until it
        reaches the new primary.

        Args:
            chosen: The new primary.
        """
        if self.group.leadership is None:
            return
        for participant in self.former:
            if participant is not chosen:
                await participant.step_down(self.group.primary_tracker.confirmed_term)

    async def resume(self) -> None:
        """End this holder's pauses, while no other proxy may hold the lease."""
        for participant in self.replicas:
            if self.lease.is_held:
                await participant.resume()

    async def end_outlasting_pauses(self) -> None:
        """Let replicas receive whose pause goes on in the term of the new primary.

        A holder that took a later term for the newest one paused them. While a former
        primary may go on elsewhere, they stay paused, as its commits would count.
        """
        term = 0
        for participant in self.former + self.replicas:
            if participant.member is self.group.primary:
                status = await participant.request_status(STATUS_REQUEST)
                if status is not None and status.is_primary:
                    term = status.term
            elif participant in self.former and self.pauses_candidate:
                if participant.status is None or participant.status.is_primary:
                    return
        for participant in self.replicas:
            if not term or not self.lease.is_held or not participant.is_connected:
                continue
            found = await participant.request_status(STATUS_REQUEST)
            if found is not None and found.paused_term > term:
                await participant.request_status(RESUME_REQUEST)

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


def build_replica_state(participant: PromotionParticipant) -> ReplicaState:
    """Return the state of an upstream for the choice of the candidate."""
    status = participant.status
    return ReplicaState(
        member_id=participant.member.member_id,
        received=status.received if status is not None else None,
        is_paused=participant.is_paused and status is not None,
        is_leaving=participant.member.entry.is_leaving,
    )
