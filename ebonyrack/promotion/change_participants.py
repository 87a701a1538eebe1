"""The upstreams of a group during a change of its primary: who leads, who is paused."""

from __future__ import annotations

import asyncio

from loguru import logger
from msgspec import Struct

from ebonyrack.members.group import Group
from ebonyrack.members.member import Member
from ebonyrack.placing.promotion_candidate import ReplicaState
from ebonyrack.promotion.lease import PromotionLease
from ebonyrack.promotion.participant import LOST_PRIMARY_TIMEOUT_S
from ebonyrack.promotion.participant import PromotionParticipant
from ebonyrack.promotion.primary_proof import is_serving_primary
from ebonyrack.requests.reply import UpstreamStatus
from ebonyrack.requests.request import RESUME_REQUEST
from ebonyrack.requests.request import STATUS_REQUEST


class ChangeParticipants(Struct):
    """The upstreams that take part in one change of a primary.

    Attributes:
        group: The group.
        lease: The promotion lease.
        term: Term below which the replicas are paused.
        former: The primary until now, if it is known.
        replicas: All other upstreams.
        has_serving_primary: Whether an upstream that has joined serves as the primary.
    """

    group: Group
    lease: PromotionLease
    term: int
    former: list[PromotionParticipant]
    replicas: list[PromotionParticipant]
    has_serving_primary: bool = False

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

    def list_states(self) -> list[ReplicaState]:
        """Return the states of the replicas for the choice of the candidate."""
        return [build_replica_state(participant) for participant in self.replicas]

    @property
    def all_reply(self) -> bool:
        """Whether every replica has told its status."""
        return all(each.status is not None for each in self.replicas)

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


def build_replica_state(participant: PromotionParticipant) -> ReplicaState:
    """Return the state of an upstream for the choice of the candidate."""
    status = participant.status
    return ReplicaState(
        member_id=participant.member.member_id,
        received=status.received if status is not None else None,
        is_paused=participant.is_paused and status is not None,
        is_leaving=participant.member.entry.is_leaving,
    )
