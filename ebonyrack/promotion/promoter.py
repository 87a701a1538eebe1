"""Changes a group's primary: pause replicas, compare logs, order a promotion, wait."""

from __future__ import annotations

import asyncio
from enum import StrEnum

from loguru import logger
from result import Err
from result import Ok

from ebonyrack.core.clock import boot_time_s
from ebonyrack.members.group import Group
from ebonyrack.placing.primary_health import PrimaryHealth
from ebonyrack.placing.promotion_candidate import ReplicaState
from ebonyrack.placing.promotion_candidate import choose_candidate
from ebonyrack.placing.promotion_candidate import is_safe_candidate
from ebonyrack.promotion.lease import PromotionLease
from ebonyrack.promotion.lease import acquire_promotion_lease
from ebonyrack.promotion.lease import release_promotion_lease
from ebonyrack.promotion.order import OrderOutcome
from ebonyrack.promotion.order import PromotionOrder
from ebonyrack.promotion.order import PromotionOrderClient
from ebonyrack.promotion.participant import LOST_PRIMARY_TIMEOUT_S
from ebonyrack.promotion.participant import PromotionParticipant
from ebonyrack.requests.request import STATUS_REQUEST
from ebonyrack.store.leasing_store import LeasingStore

# Pause between checks of replicas that must catch up or reply.
RECHECK_PAUSE_S = 0.05
# Pause between probes of the new primary.
PRIMARY_CHECK_PAUSE_S = 0.05
# The platform takes up to a second for an order; after this time the attempt ends and
# may be retried.
PRIMARY_WAIT_S = 2.0


# In these health states a primary that proves its role is not replaced.
CLEARED_BY_PROOF = frozenset(
    {PrimaryHealth.SILENT, PrimaryHealth.REFUSING, PrimaryHealth.UNKNOWN}
)


class PromotionResult(StrEnum):
    """Result of one attempt to change the primary."""

    PROMOTED = "leads"
    NOT_NEEDED = "not_needed"
    LEASE_NOT_HELD = "not_held"
    NO_SAFE_SUCCESSOR = "no_safe_successor"
    REFUSED = "refused"
    NOT_ACCEPTED = "not_taken"
    UNANSWERED = "unanswered"
    NOT_PRIMARY = "not_leading"


# Results after which the order will certainly not be carried out.
KNOWN_NOT_CARRIED_OUT = frozenset(
    {
        PromotionResult.LEASE_NOT_HELD,
        PromotionResult.REFUSED,
        PromotionResult.NOT_ACCEPTED,
    }
)


class Promoter:
    """Changes the primary of one group on behalf of this proxy.

    Attributes:
        group: The group.
        store: The store that holds the promotion lease.
        order_client: Sends promotion orders.
        name: Name of this proxy.
    """

    __slots__ = ("group", "store", "order_client", "name")

    def __init__(
        self,
        group: Group,
        store: LeasingStore,
        order_client: PromotionOrderClient,
        name: str,
    ) -> None:
        self.group = group
        self.store = store
        self.order_client = order_client
        self.name = name

    async def run(self, health: PrimaryHealth) -> PromotionResult:
        """Acquire the promotion lease and attempt one change of primary.

        Args:
            health: Health state of the current primary.

        Returns:
            The result of the attempt.
        """
        lease = await acquire_promotion_lease(self.store, self.group.name, self.name)
        if lease is None:
            return PromotionResult.LEASE_NOT_HELD
        started_s = boot_time_s()
        try:
            result = await self.change_primary(lease, health)
        finally:
            await release_promotion_lease(self.store, lease)
        logger.bind(
            group=self.group.name,
            verdict=health,
            fencing_token=lease.fencing_token,
            result=result,
            elapsed_s=round(boot_time_s() - started_s, 3),
        ).info("promotion_ended")
        return result

    async def change_primary(
        self, lease: PromotionLease, health: PrimaryHealth
    ) -> PromotionResult:
        """Query all upstreams and change the primary if that is still needed."""
        primary = self.group.primary
        participants = [
            PromotionParticipant(member) for member in self.group.members.values()
        ]
        try:
            # Open connections to a lost primary may never reply.
            is_lost = health is not PrimaryHealth.LEAVING
            await asyncio.gather(
                *(
                    participant.connect_directly(LOST_PRIMARY_TIMEOUT_S)
                    if is_lost and participant.member is primary
                    else participant.connect()
                    for participant in participants
                )
            )
            for participant in participants:
                if participant.member is not primary and await self.is_serving_primary(
                    participant
                ):
                    return PromotionResult.NOT_NEEDED
            primary_participants = [
                participant
                for participant in participants
                if participant.member is primary
            ]
            if health in CLEARED_BY_PROOF:
                for participant in primary_participants:
                    if await self.is_serving_primary(participant):
                        return PromotionResult.NOT_NEEDED
            replicas = [
                participant
                for participant in participants
                if participant.member is not primary
            ]
            return await self.promote_candidate(
                lease, health, primary_participants, replicas
            )
        finally:
            for participant in participants:
                participant.close()

    async def is_serving_primary(self, participant: PromotionParticipant) -> bool:
        """Return whether an upstream is the primary after all, and record it."""
        status = participant.status
        if status is None or not status.is_primary:
            return False
        if status.term < self.group.primary_tracker.confirmed_term:
            # A replaced primary may go on as if it led.
            return False
        return await self.prove_primary(participant)

    async def prove_primary(self, participant: PromotionParticipant) -> bool:
        """Probe whether an upstream is the primary, and record it if so."""
        proof = await participant.prove_primary()
        if proof is None:
            return False
        if self.group.leadership is not None:
            # Only the status tells the term in which the upstream leads.
            status = await participant.request_status(STATUS_REQUEST)
            if status is None or not status.is_primary:
                return False
            self.group.record_status(participant.member, status)
            return self.group.primary is participant.member
        self.group.record_primary_reply(
            participant.member, proof.sent_at_s, proof.position
        )
        return True

    async def promote_candidate(
        self,
        lease: PromotionLease,
        health: PrimaryHealth,
        primary_participants: list[PromotionParticipant],
        replicas: list[PromotionParticipant],
    ) -> PromotionResult:
        """Find a candidate that holds all acknowledged commits and promote it."""
        statuses = [
            participant.status
            for participant in primary_participants + replicas
            if participant.status is not None
        ]
        newest_term = max(
            (max(status.term, status.paused_term) for status in statuses), default=0
        )
        chosen = await self.find_candidate(
            lease, newest_term + 1, health, primary_participants, replicas
        )
        if isinstance(chosen, PromotionResult):
            await self.resume(replicas)
            return chosen
        result = await self.send_order(lease, chosen, primary_participants)
        # Replicas stay paused if the order may still be carried out: the new primary
        # may lack what they receive from now on.
        if result in KNOWN_NOT_CARRIED_OUT:
            await self.resume(replicas)
        return result

    async def find_candidate(
        self,
        lease: PromotionLease,
        term: int,
        health: PrimaryHealth,
        primary_participants: list[PromotionParticipant],
        replicas: list[PromotionParticipant],
    ) -> PromotionParticipant | PromotionResult:
        """Pause the other replicas and wait until the candidate holds all they hold.

        Returns:
            The candidate, or the result of the attempt if none is safe.
        """
        primary_serves = health is PrimaryHealth.LEAVING
        acknowledging_replicas = self.group.limits.acknowledging_replicas
        while lease.is_held:
            states = [build_replica_state(participant) for participant in replicas]
            candidate_id = choose_candidate(states, primary_serves)
            for participant in replicas:
                if (
                    participant.member.member_id != candidate_id
                    and not participant.is_paused
                ):
                    await participant.pause(term)
            chosen = [
                participant
                for participant in replicas
                if participant.member.member_id == candidate_id
            ]
            if chosen and chosen[0].status is not None:
                if not chosen[0].is_paused:
                    await self.prepare_candidate(chosen[0], replicas, term)
                states = [build_replica_state(participant) for participant in replicas]
                is_stopped = self.group.leadership is None or chosen[0].is_paused
                if is_stopped and is_safe_candidate(
                    chosen[0].member.member_id, states, acknowledging_replicas
                ):
                    return chosen[0]
                # While a replica is silent, pausing the candidate achieves nothing and
                # would stall commits if the primary is only unreachable from here.
                all_reply = all(each.received is not None for each in states)
                if all_reply and not primary_serves and not chosen[0].is_paused:
                    await chosen[0].pause(term)
            self.log_unsafe(states)
            await asyncio.sleep(RECHECK_PAUSE_S)
            has_primary_recovered, _ = await asyncio.gather(
                self.has_primary_recovered(health, primary_participants),
                self.refresh_participants(replicas),
            )
            if has_primary_recovered:
                return PromotionResult.NOT_NEEDED
        return PromotionResult.NO_SAFE_SUCCESSOR

    async def prepare_candidate(
        self,
        candidate: PromotionParticipant,
        replicas: list[PromotionParticipant],
        term: int,
    ) -> None:
        """Update the status of the candidate, which receives nothing more if unfenced.

        Where a replaced primary may go on, every replica must be paused before the
        order: a replica that isn't shows the proxies that the primary leads, and a
        commit that it receives is acknowledged.
        """
        await candidate.request_status(STATUS_REQUEST)
        if self.group.leadership is None or candidate.status is None:
            return
        received = [
            each.status.received for each in replicas if each.status is not None
        ]
        if candidate.status.received >= max(received):
            await candidate.pause(term)

    async def has_primary_recovered(
        self, health: PrimaryHealth, primary_participants: list[PromotionParticipant]
    ) -> bool:
        """Return whether the primary that seemed lost proves its role after all."""
        if health not in CLEARED_BY_PROOF:
            return False
        for participant in primary_participants:
            if participant.link is None or not participant.link.is_open:
                await participant.connect_directly(LOST_PRIMARY_TIMEOUT_S)
            else:
                await participant.request_status(STATUS_REQUEST)
            if await self.is_serving_primary(participant):
                return True
        return False

    async def refresh_participants(self, replicas: list[PromotionParticipant]) -> None:
        """Update the status of unpaused replicas and reconnect to the silent ones."""
        for participant in replicas:
            if participant.link is None or not participant.link.is_open:
                participant.is_paused = False
                await participant.connect()
            elif not participant.is_paused:
                await participant.request_status(STATUS_REQUEST)

    async def send_order(
        self,
        lease: PromotionLease,
        chosen: PromotionParticipant,
        former: list[PromotionParticipant],
    ) -> PromotionResult:
        """Order the promotion and wait until the upstream is the primary.

        Args:
            lease: The promotion lease.
            chosen: The upstream to be promoted.
            former: The primary until now, if it is known.

        Returns:
            The result of the attempt.
        """
        if not lease.allows_order:
            return PromotionResult.LEASE_NOT_HELD
        member = chosen.member
        outcome = await self.order_client.promote(
            PromotionOrder(
                self.group.name, member.member_id, self.name, lease.fencing_token
            )
        )
        received = chosen.status.received if chosen.status is not None else None
        logger.bind(
            group=self.group.name,
            upstream=member.member_id,
            fencing_token=lease.fencing_token,
            received=str(received),
            outcome=str(outcome),
        ).info("promotion_ordered")
        if isinstance(outcome, Ok) and outcome.ok_value is OrderOutcome.REFUSED:
            return PromotionResult.REFUSED
        if isinstance(outcome, Err):
            return PromotionResult.NOT_ACCEPTED
        deadline_s = boot_time_s() + PRIMARY_WAIT_S
        while boot_time_s() < deadline_s:
            if await self.prove_primary(chosen):
                await self.end_former_lead(former)
                return PromotionResult.PROMOTED
            await asyncio.sleep(PRIMARY_CHECK_PAUSE_S)
        if outcome == Ok(OrderOutcome.UNANSWERED):
            return PromotionResult.UNANSWERED
        return PromotionResult.NOT_PRIMARY

    async def end_former_lead(self, former: list[PromotionParticipant]) -> None:
        """Make the replaced primary a replica if it can be reached.

        Another proxy may still send it requests; without this it would go on until it
        reaches the new primary.
        """
        if self.group.leadership is None:
            return
        term = self.group.primary_tracker.confirmed_term
        for participant in former:
            await participant.step_down(term)

    async def resume(self, replicas: list[PromotionParticipant]) -> None:
        """Let the paused replicas receive again."""
        for participant in replicas:
            await participant.resume()

    def log_unsafe(self, states: list[ReplicaState]) -> None:
        """Log why no replica can be promoted yet."""
        logger.bind(
            group=self.group.name,
            replicas={
                each.member_id: f"{each.received} paused={each.is_paused}"
                for each in states
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
