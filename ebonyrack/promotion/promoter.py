"""Changes a group's primary: pause replicas, compare logs, order a promotion, wait."""

from __future__ import annotations

import asyncio

from loguru import logger
from result import Err
from result import Ok

from ebonyrack.core.clock import boot_time_s
from ebonyrack.members.group import Group
from ebonyrack.placing.primary_health import PrimaryHealth
from ebonyrack.promotion.candidate_search import CLEARED_BY_PROOF
from ebonyrack.promotion.candidate_search import CandidateSearch
from ebonyrack.promotion.lease import PromotionLease
from ebonyrack.promotion.lease import acquire_promotion_lease
from ebonyrack.promotion.lease import release_promotion_lease
from ebonyrack.promotion.open_order import OpenOrder
from ebonyrack.promotion.open_order import OpenOrderRecord
from ebonyrack.promotion.order import OrderOutcome
from ebonyrack.promotion.order import PromotionOrder
from ebonyrack.promotion.order import PromotionOrderClient
from ebonyrack.promotion.participant import LOST_PRIMARY_TIMEOUT_S
from ebonyrack.promotion.participant import PromotionParticipant
from ebonyrack.promotion.primary_proof import is_serving_primary
from ebonyrack.promotion.primary_proof import prove_primary
from ebonyrack.promotion.result import KNOWN_NOT_CARRIED_OUT
from ebonyrack.promotion.result import PromotionResult
from ebonyrack.store.leasing_store import LeasingStore

# Pause between probes of the new primary.
PRIMARY_CHECK_PAUSE_S = 0.05
# The platform takes up to a second for an order; after this time the attempt ends and
# may be retried.
PRIMARY_WAIT_S = 2.0


class Promoter:
    """Changes the primary of one group on behalf of this proxy.

    Attributes:
        group: The group.
        store: The store that holds the promotion lease.
        order_client: Sends promotion orders.
        name: Name of this proxy.
        open_order: Record of an order whose fate is unknown.
        was_unanswered: Whether the last order got no response.
    """

    __slots__ = (
        "group",
        "store",
        "order_client",
        "name",
        "open_order",
        "was_unanswered",
    )

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
        self.open_order = OpenOrderRecord(store, group.name)
        self.was_unanswered = False

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
                if participant.member is not primary and await is_serving_primary(
                    self.group, participant
                ):
                    return PromotionResult.NOT_NEEDED
            primary_participants = [
                participant
                for participant in participants
                if participant.member is primary
            ]
            if health in CLEARED_BY_PROOF:
                for participant in primary_participants:
                    if await is_serving_primary(self.group, participant):
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

    async def promote_candidate(
        self,
        lease: PromotionLease,
        health: PrimaryHealth,
        former: list[PromotionParticipant],
        replicas: list[PromotionParticipant],
    ) -> PromotionResult:
        """Find a candidate that holds all acknowledged commits and promote it."""
        awaited: OpenOrder | None = None
        if self.group.leadership is not None:
            found = await self.open_order.read()
            if isinstance(found, Err):
                return PromotionResult.NO_SAFE_SUCCESSOR
            awaited = found.ok_value
        statuses = [
            participant.status
            for participant in former + replicas
            if participant.status is not None
        ]
        newest_term = max(
            (max(status.term, status.paused_term) for status in statuses), default=0
        )
        search = CandidateSearch(
            self.group,
            lease,
            health,
            newest_term + 1,
            former,
            replicas,
            awaited.member_id if awaited is not None else None,
        )
        chosen = await search.run()
        result = (
            chosen
            if isinstance(chosen, PromotionResult)
            else await self.order_promotion(search, chosen, awaited)
        )
        # Replicas stay paused if an order may still be carried out: the new primary
        # may lack what they receive from now on.
        is_over = result in KNOWN_NOT_CARRIED_OUT or result is chosen
        if is_over and awaited is None:
            await self.resume(replicas)
        return result

    async def delete_expired_order(self) -> None:
        """Delete the record of an order that can't be carried out any more."""
        if self.open_order.seen is not None and self.open_order.awaited is None:
            await self.open_order.delete()

    async def order_promotion(
        self,
        search: CandidateSearch,
        chosen: PromotionParticipant,
        awaited: OpenOrder | None,
    ) -> PromotionResult:
        """Order the promotion, with a record of the order where it isn't fenced.

        Args:
            search: The search that found the candidate.
            chosen: The upstream to be promoted.
            awaited: An earlier order that may still be carried out, or None.

        Returns:
            The result of the attempt.
        """
        if self.group.leadership is None:
            return await self.send_order(search, chosen)
        token = search.lease.fencing_token
        if not await self.open_order.write(chosen.member.member_id, token):
            return PromotionResult.NOT_ACCEPTED
        result = await self.send_order(search, chosen)
        is_known = result in KNOWN_NOT_CARRIED_OUT or result is PromotionResult.PROMOTED
        if is_known and awaited is None and not self.was_unanswered:
            await self.open_order.delete()
        return result

    async def send_order(
        self, search: CandidateSearch, chosen: PromotionParticipant
    ) -> PromotionResult:
        """Order the promotion and wait until the upstream is the primary.

        Args:
            search: The search that found the candidate.
            chosen: The upstream to be promoted.

        Returns:
            The result of the attempt.
        """
        lease = search.lease
        self.was_unanswered = False
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
        self.was_unanswered = outcome == Ok(OrderOutcome.UNANSWERED)
        deadline_s = boot_time_s() + PRIMARY_WAIT_S
        while boot_time_s() < deadline_s:
            if await prove_primary(self.group, chosen):
                await self.end_former_lead(search.former)
                return PromotionResult.PROMOTED
            await search.pause_returned()
            await asyncio.sleep(PRIMARY_CHECK_PAUSE_S)
        if self.was_unanswered:
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
