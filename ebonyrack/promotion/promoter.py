"""Changes a group's primary: pause, compare, order, and wait until it leads."""

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
from ebonyrack.promotion.participant import PromotionParticipant
from ebonyrack.requests.request import STATUS_REQUEST
from ebonyrack.store.leasing_store import LeasingStore

# One question to a primary that seems lost; whoever answers later is too late.
LOST_PRIMARY_TIMEOUT_S = 0.15
# Between two looks at replicas that must catch up or answer.
RECHECK_PAUSE_S = 0.05
# Between two questions whether the new primary leads.
PRIMARY_CHECK_PAUSE_S = 0.05
# An order takes the platform up to a second; after this it is given another turn.
PRIMARY_WAIT_S = 2.0


# Under these verdicts a primary that proves to lead is not replaced.
CLEARED_BY_PROOF = frozenset(
    {PrimaryHealth.SILENT, PrimaryHealth.REFUSING, PrimaryHealth.UNKNOWN}
)


class PromotionResult(StrEnum):
    """How an attempt ended."""

    PROMOTED = "leads"
    NOT_NEEDED = "not_needed"
    LEASE_NOT_HELD = "not_held"
    NO_SAFE_SUCCESSOR = "no_safe_successor"
    REFUSED = "refused"
    NOT_ACCEPTED = "not_taken"
    UNANSWERED = "unanswered"
    NOT_PRIMARY = "not_leading"


# After these nothing of the order will happen.
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
        store: The store, for the duty.
        order_client: Takes orders.
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
        """Take the duty and change the primary once.

        Args:
            health: What is wrong with the present one.

        Returns:
            How it ended.
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
        """Ask all upstreams and change the primary if that is still needed."""
        primary = self.group.primary
        participants = [
            PromotionParticipant(member) for member in self.group.members.values()
        ]
        try:
            # Open connections to a lost primary may be silent for good.
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
            old = [
                participant
                for participant in participants
                if participant.member is primary
            ]
            if health in CLEARED_BY_PROOF:
                for participant in old:
                    if await self.is_serving_primary(participant):
                        return PromotionResult.NOT_NEEDED
            replicas = [
                participant
                for participant in participants
                if participant.member is not primary
            ]
            return await self.promote_candidate(lease, health, old, replicas)
        finally:
            for participant in participants:
                participant.close()

    async def is_serving_primary(self, participant: PromotionParticipant) -> bool:
        """Return whether an upstream leads after all; the group is told."""
        status = participant.status
        if status is None or not status.is_primary:
            return False
        return await self.prove_primary(participant)

    async def prove_primary(self, participant: PromotionParticipant) -> bool:
        """Have an upstream prove that it leads; the group is told if it does."""
        proof = await participant.prove_primary()
        if proof is None:
            return False
        self.group.record_primary_reply(
            participant.member, proof.sent_at_s, proof.position
        )
        return True

    async def promote_candidate(
        self,
        lease: PromotionLease,
        health: PrimaryHealth,
        old: list[PromotionParticipant],
        replicas: list[PromotionParticipant],
    ) -> PromotionResult:
        """Find a successor that holds all that was acknowledged and order it."""
        statuses = [c.status for c in old + replicas if c.status is not None]
        newest = max(
            (max(status.term, status.paused_term) for status in statuses), default=0
        )
        chosen = await self.find_candidate(lease, newest + 1, health, old, replicas)
        if isinstance(chosen, PromotionResult):
            await self.resume(replicas)
            return chosen
        result = await self.send_order(lease, chosen)
        # An order that may still be carried out needs the pauses to stay: what the
        # replicas receive from now on, the successor may lack.
        if result in KNOWN_NOT_CARRIED_OUT:
            await self.resume(replicas)
        return result

    async def find_candidate(
        self,
        lease: PromotionLease,
        term: int,
        health: PrimaryHealth,
        old: list[PromotionParticipant],
        replicas: list[PromotionParticipant],
    ) -> PromotionParticipant | PromotionResult:
        """Pause the others and wait until one replica holds what all of them do.

        Returns:
            That replica, or why there is none.
        """
        primary_serves = health is PrimaryHealth.LEAVING
        needed = self.group.limits.acknowledging_replicas
        while lease.is_held:
            states = [describe(participant) for participant in replicas]
            candidate_id = choose_candidate(states, primary_serves)
            for participant in replicas:
                if (
                    participant.member.member_id != candidate_id
                    and not participant.is_paused
                ):
                    await participant.pause(term)
            chosen = [c for c in replicas if c.member.member_id == candidate_id]
            if chosen and chosen[0].status is not None:
                if not chosen[0].is_paused:
                    await chosen[0].request_status(STATUS_REQUEST)
                states = [describe(participant) for participant in replicas]
                if is_safe_candidate(chosen[0].member.member_id, states, needed):
                    return chosen[0]
                # While one is silent its pause decides nothing and would hold up the
                # commits of a primary that is only out of reach from here.
                all_answer = all(each.received is not None for each in states)
                if all_answer and not primary_serves and not chosen[0].is_paused:
                    await chosen[0].pause(term)
            self.log_unsafe(states)
            await asyncio.sleep(RECHECK_PAUSE_S)
            has_primary_recovered, _ = await asyncio.gather(
                self.has_primary_recovered(health, old),
                self.refresh_participants(replicas),
            )
            if has_primary_recovered:
                return PromotionResult.NOT_NEEDED
        return PromotionResult.NO_SAFE_SUCCESSOR

    async def has_primary_recovered(
        self, health: PrimaryHealth, old: list[PromotionParticipant]
    ) -> bool:
        """Return whether the primary that seemed lost leads after all."""
        if health not in CLEARED_BY_PROOF:
            return False
        for participant in old:
            if participant.link is None or not participant.link.is_open:
                await participant.connect_directly(LOST_PRIMARY_TIMEOUT_S)
            else:
                await participant.request_status(STATUS_REQUEST)
            if await self.is_serving_primary(participant):
                return True
        return False

    async def refresh_participants(self, replicas: list[PromotionParticipant]) -> None:
        """Ask those that wait to catch up, and connect again to the silent ones."""
        for participant in replicas:
            if participant.link is None or not participant.link.is_open:
                participant.is_paused = False
                await participant.connect()
            elif not participant.is_paused:
                await participant.request_status(STATUS_REQUEST)

    async def send_order(
        self, lease: PromotionLease, chosen: PromotionParticipant
    ) -> PromotionResult:
        """Order the promotion and wait until the upstream leads."""
        if not lease.is_held:
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
        give_up_s = boot_time_s() + PRIMARY_WAIT_S
        while boot_time_s() < give_up_s:
            if await self.prove_primary(chosen):
                return PromotionResult.PROMOTED
            await asyncio.sleep(PRIMARY_CHECK_PAUSE_S)
        if outcome == Ok(OrderOutcome.UNANSWERED):
            return PromotionResult.UNANSWERED
        return PromotionResult.NOT_PRIMARY

    async def resume(self, replicas: list[PromotionParticipant]) -> None:
        """Let paused replicas receive again."""
        for participant in replicas:
            await participant.resume()

    def log_unsafe(self, states: list[ReplicaState]) -> None:
        """Log why no replica may lead yet."""
        logger.bind(
            group=self.group.name,
            replicas={
                each.member_id: f"{each.received} paused={each.is_paused}"
                for each in states
            },
        ).warning("promotion_waits")


def describe(participant: PromotionParticipant) -> ReplicaState:
    """Return what is known of an upstream for the choice of the successor."""
    status = participant.status
    return ReplicaState(
        member_id=participant.member.member_id,
        received=status.received if status is not None else None,
        is_paused=participant.is_paused and status is not None,
        is_leaving=participant.member.entry.is_leaving,
    )
