"""Changes a group's primary: choose its successor, order a promotion, wait."""

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
from ebonyrack.promotion.ended_lead import EndedLead
from ebonyrack.promotion.entry_refresh import EntryRefresh
from ebonyrack.promotion.entry_refresh import ReadEntries
from ebonyrack.promotion.lease import PromotionLease
from ebonyrack.promotion.lease import acquire_promotion_lease
from ebonyrack.promotion.lease import release_promotion_lease
from ebonyrack.promotion.open_order import OpenOrder
from ebonyrack.promotion.open_order import OpenOrderRecord
from ebonyrack.promotion.order import OrderOutcome
from ebonyrack.promotion.order import PromotionOrder
from ebonyrack.promotion.order import PromotionOrderClient
from ebonyrack.promotion.participant import PromotionParticipant
from ebonyrack.promotion.planned_change import PlannedChange
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
# An order without a response is repeated after this time, while the lease lasts.
REPEAT_AFTER_S = 0.2


class Promoter:
    """Changes the primary of one group on behalf of this proxy.

    Attributes:
        group: The group.
        store: The store that holds the promotion lease.
        order_client: Sends promotion orders.
        name: Name of this proxy.
        read_entries: Reads the upstreams' entries once.
        open_order: Record of an order whose fate is unknown.
        was_unanswered: Whether the last order got no response.
        has_ordered: Whether the current attempt has sent an order.
    """

    __slots__ = (
        "group",
        "store",
        "order_client",
        "name",
        "read_entries",
        "open_order",
        "was_unanswered",
        "has_ordered",
    )

    def __init__(
        self,
        group: Group,
        store: LeasingStore,
        order_client: PromotionOrderClient,
        name: str,
        read_entries: ReadEntries,
    ) -> None:
        self.group = group
        self.store = store
        self.order_client = order_client
        self.name = name
        self.read_entries = read_entries
        self.open_order = OpenOrderRecord(store, group.name)
        self.was_unanswered = False
        self.has_ordered = False

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
            async with EntryRefresh(self.read_entries, health.is_lost) as refresh:
                result = await self.change_primary(lease, health, refresh)
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
        self, lease: PromotionLease, health: PrimaryHealth, refresh: EntryRefresh
    ) -> PromotionResult:
        """Query all upstreams and change the primary if that is still needed."""
        primary = self.group.primary
        participants = [
            PromotionParticipant(member) for member in self.group.members.values()
        ]
        former = [each for each in participants if each.member is primary]
        # The search adds upstreams that join, and removes those that are gone.
        replicas = [each for each in participants if each.member is not primary]
        try:
            await asyncio.gather(
                refresh.wait_for_reading(),
                *(each.connect_primary(health.is_lost) for each in former),
                *(each.connect() for each in replicas),
            )
            newest_term = self.find_newest_term(participants)
            asked = participants if health in CLEARED_BY_PROOF else replicas
            for participant in list(asked):
                if await is_serving_primary(self.group, participant, newest_term):
                    return PromotionResult.NOT_NEEDED
            return await self.promote_candidate(lease, health, former, replicas)
        finally:
            for participant in former + replicas:
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
        search = CandidateSearch(
            self.group,
            lease,
            self.find_newest_term(former + replicas) + 1,
            former,
            replicas,
            health=health,
            required_id=awaited.member_id if awaited is not None else None,
        )
        self.has_ordered = False
        try:
            return await self.promote_successor(search, awaited)
        except asyncio.CancelledError:
            if not self.has_ordered and awaited is None:
                await search.resume()
            raise

    def find_newest_term(self, participants: list[PromotionParticipant]) -> int:
        """Return the newest term that is known to have been led.

        The terms of pauses don't count: the new primary leads the next term after those
        that an upstream led, and a higher pause would go on below it.
        """
        terms = [each.status.term for each in participants if each.status is not None]
        return max([self.group.primary_tracker.confirmed_term, *terms])

    async def promote_successor(
        self, search: CandidateSearch, awaited: OpenOrder | None
    ) -> PromotionResult:
        """Choose the successor and promote it; end the pauses if that is safe."""
        chosen = await self.choose_successor(search)
        result = (
            chosen
            if isinstance(chosen, PromotionResult)
            else await self.order_promotion(search, chosen, awaited)
        )
        if isinstance(chosen, PromotionParticipant):
            result = await self.restore_lead(search, chosen, awaited, result)
        # Replicas stay paused if an order may still be carried out: the new primary
        # may lack what they receive from now on.
        if result is PromotionResult.PROMOTED:
            await search.end_outlasting_pauses()
        is_over = result in KNOWN_NOT_CARRIED_OUT or result is chosen
        if is_over and (awaited is None or self.is_primary(awaited, result)):
            await search.resume()
        return result

    def is_primary(self, awaited: OpenOrder, result: PromotionResult) -> bool:
        """Return whether an open order names the primary that serves.

        It changes nothing then, so that nobody has to lack what replicas receive.
        """
        primary = self.group.primary
        return (
            result is PromotionResult.NOT_NEEDED
            and primary is not None
            and primary.member_id == awaited.member_id
        )

    async def choose_successor(
        self, search: CandidateSearch
    ) -> PromotionParticipant | PromotionResult:
        """Choose the upstream to be promoted; a primary that replies steps down."""
        if not search.health.is_lost:
            return await change_reachable_primary(search)
        chosen = await search.run()
        leading = search.leading
        if isinstance(chosen, PromotionResult) or leading is None:
            return chosen
        return await EndedLead(search, leading, self.read_entries).choose(chosen)

    async def restore_lead(
        self,
        search: CandidateSearch,
        chosen: PromotionParticipant,
        awaited: OpenOrder | None,
        result: PromotionResult,
    ) -> PromotionResult:
        """Order a primary that has stepped down back if its successor was refused.

        Args:
            search: The search with the participants.
            chosen: The upstream whose promotion was ordered.
            awaited: An earlier order that may still be carried out, or None.
            result: Result of that order.

        Returns:
            The result of the last order.
        """
        if not search.has_stepped_down or result not in KNOWN_NOT_CARRIED_OUT:
            return result
        if awaited is not None:
            return result
        for former in search.former:
            if former is not chosen and former.is_connected:
                await search.resume()
                return await self.order_promotion(search, former, None)
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
        """Order the promotion, repeatedly while there is no response.

        The token and the upstream stay the same, so it doesn't matter which of the
        orders is carried out, or whether several are. Where orders are not fenced, each
        is recorded first.

        Args:
            search: The search that found the candidate.
            chosen: The upstream to be promoted.
            awaited: An earlier order that may still be carried out, or None.

        Returns:
            The result of the attempt.
        """
        self.was_unanswered = False
        result = PromotionResult.LEASE_NOT_HELD
        while search.lease.allows_order:
            if not await self.record_order(search.lease, chosen):
                result = PromotionResult.NOT_ACCEPTED
                break
            if not search.lease.allows_order:
                # Recording it took until the lease ended.
                result = PromotionResult.LEASE_NOT_HELD
                break
            result = await self.send_order(search, chosen)
            is_repeated = result is PromotionResult.UNANSWERED and chosen.is_connected
            if not is_repeated:
                break
        if self.was_unanswered and result in KNOWN_NOT_CARRIED_OUT:
            return PromotionResult.UNANSWERED
        is_known = result in KNOWN_NOT_CARRIED_OUT or result is PromotionResult.PROMOTED
        if is_known and awaited is None and not self.was_unanswered:
            await self.open_order.delete()
        return result

    async def record_order(
        self, lease: PromotionLease, chosen: PromotionParticipant
    ) -> bool:
        """Record an order that is about to be sent, where orders are not fenced.

        Returns:
            Whether it may be sent.
        """
        if self.group.leadership is None:
            return True
        return await self.open_order.write(chosen.member.member_id, lease.fencing_token)

    async def send_order(
        self, search: CandidateSearch, chosen: PromotionParticipant
    ) -> PromotionResult:
        """Order the promotion and wait until the upstream is the primary."""
        lease = search.lease
        member = chosen.member
        self.has_ordered = True
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
        is_unanswered = outcome == Ok(OrderOutcome.UNANSWERED)
        self.was_unanswered = self.was_unanswered or is_unanswered
        sent_at_s = boot_time_s()
        while True:
            if await prove_primary(self.group, chosen):
                await search.end_former_lead(chosen)
                return PromotionResult.PROMOTED
            if self.is_wait_over(search.lease, sent_at_s, is_unanswered):
                break
            await search.pause_returned(chosen)
            await asyncio.sleep(PRIMARY_CHECK_PAUSE_S)
        if is_unanswered:
            return PromotionResult.UNANSWERED
        return PromotionResult.NOT_PRIMARY

    def is_wait_over(
        self, lease: PromotionLease, sent_at_s: float, is_unanswered: bool
    ) -> bool:
        """Return whether the wait for the effect of an order has ended."""
        waited_s = boot_time_s() - sent_at_s
        if is_unanswered and lease.allows_order:
            return waited_s > REPEAT_AFTER_S
        return waited_s > PRIMARY_WAIT_S


async def change_reachable_primary(
    search: CandidateSearch,
) -> PromotionParticipant | PromotionResult:
    """Choose the successor of a leaving primary.

    If the primary doesn't reply to this proxy, which only another one may reach, it is
    not changed: its commits may count with upstreams that join. Once it is lost for
    this proxy too, its replicas are paused and compared.
    """
    for participant in search.former:
        status = participant.status
        if status is None:
            continue
        if status.is_primary:
            return await PlannedChange(search, participant).run()
        # An earlier holder made it step down; it is compared like any replica next.
        search.group.record_not_primary(participant.member)
    return PromotionResult.NO_SAFE_SUCCESSOR
