"""Changes a group's primary: pause, compare, order, and wait until it leads."""

from __future__ import annotations

import asyncio
from enum import StrEnum

from loguru import logger
from result import Err
from result import Ok

from ebonyrack.core.clock import boot_time_s
from ebonyrack.members.group import Group
from ebonyrack.placing.successor import ReplicaState
from ebonyrack.placing.successor import choose_candidate
from ebonyrack.placing.successor import is_safe_successor
from ebonyrack.placing.suspicion import Verdict
from ebonyrack.promotion.contact import Contact
from ebonyrack.promotion.duty import Duty
from ebonyrack.promotion.duty import give_back
from ebonyrack.promotion.duty import take_duty
from ebonyrack.promotion.order import OrderDesk
from ebonyrack.promotion.order import OrderOutcome
from ebonyrack.promotion.order import PromotionOrder
from ebonyrack.requests.request import OWN_STATUS
from ebonyrack.store.leasing_store import LeasingStore

# One question to a primary that seems lost; whoever answers later is too late.
LOST_QUESTION_TIMEOUT_S = 0.15
# Between two looks at replicas that must catch up or answer.
LOOK_PAUSE_S = 0.05
# Between two questions whether the new primary leads.
LEAD_PAUSE_S = 0.05
# An order takes the platform up to a second; after this it is given another turn.
LEAD_WAIT_S = 2.0


# Under these verdicts a primary that proves to lead is not replaced.
ENDED_BY_ANSWERS = frozenset({Verdict.SILENT, Verdict.REFUSING, Verdict.UNKNOWN})


class PromotionResult(StrEnum):
    """How an attempt ended."""

    LEADS = "leads"
    NOT_NEEDED = "not_needed"
    NOT_HELD = "not_held"
    NO_SAFE_SUCCESSOR = "no_safe_successor"
    REFUSED = "refused"
    NOT_TAKEN = "not_taken"
    UNANSWERED = "unanswered"
    NOT_LEADING = "not_leading"


# After these nothing of the order will happen.
SURELY_NOT_CARRIED_OUT = frozenset(
    {PromotionResult.NOT_HELD, PromotionResult.REFUSED, PromotionResult.NOT_TAKEN}
)


class Promoter:
    """Changes the primary of one group on behalf of this proxy.

    Attributes:
        group: The group.
        store: The store, for the duty.
        orders: Takes orders.
        name: Name of this proxy.
    """

    __slots__ = ("group", "store", "orders", "name")

    def __init__(
        self, group: Group, store: LeasingStore, orders: OrderDesk, name: str
    ) -> None:
        self.group = group
        self.store = store
        self.orders = orders
        self.name = name

    async def run(self, verdict: Verdict) -> PromotionResult:
        """Take the duty and change the primary once.

        Args:
            verdict: What is wrong with the present one.

        Returns:
            How it ended.
        """
        duty = await take_duty(self.store, self.group.name, self.name)
        if duty is None:
            return PromotionResult.NOT_HELD
        started_s = boot_time_s()
        try:
            result = await self.change_primary(duty, verdict)
        finally:
            await give_back(self.store, duty)
        logger.bind(
            group=self.group.name,
            verdict=verdict,
            fencing_token=duty.fencing_token,
            result=result,
            elapsed_s=round(boot_time_s() - started_s, 3),
        ).info("promotion_ended")
        return result

    async def change_primary(self, duty: Duty, verdict: Verdict) -> PromotionResult:
        """Ask all upstreams and change the primary if that is still needed."""
        leader = self.group.leader
        contacts = [Contact(member) for member in self.group.members.values()]
        try:
            # Open connections to a lost primary may be silent for good.
            is_lost = verdict is not Verdict.LEAVING
            await asyncio.gather(
                *(
                    contact.open_own(LOST_QUESTION_TIMEOUT_S)
                    if is_lost and contact.member is leader
                    else contact.open()
                    for contact in contacts
                )
            )
            for contact in contacts:
                if contact.member is not leader and await self.finds_leading(contact):
                    return PromotionResult.NOT_NEEDED
            old = [contact for contact in contacts if contact.member is leader]
            if verdict in ENDED_BY_ANSWERS:
                for contact in old:
                    if await self.finds_leading(contact):
                        return PromotionResult.NOT_NEEDED
            replicas = [contact for contact in contacts if contact.member is not leader]
            return await self.promote_best(duty, verdict, old, replicas)
        finally:
            for contact in contacts:
                contact.close()

    async def finds_leading(self, contact: Contact) -> bool:
        """Return whether an upstream leads after all; the group is told."""
        status = contact.status
        if status is None or not status.leads:
            return False
        return await self.note_lead(contact)

    async def note_lead(self, contact: Contact) -> bool:
        """Have an upstream prove that it leads; the group is told if it does."""
        proof = await contact.prove_lead()
        if proof is None:
            return False
        self.group.note_leads(contact.member, proof.asked_at_s, proof.position)
        return True

    async def promote_best(
        self,
        duty: Duty,
        verdict: Verdict,
        old: list[Contact],
        replicas: list[Contact],
    ) -> PromotionResult:
        """Find a successor that holds all that was acknowledged and order it."""
        statuses = [c.status for c in old + replicas if c.status is not None]
        newest = max(
            (max(status.term, status.held_term) for status in statuses), default=0
        )
        chosen = await self.find_successor(duty, newest + 1, verdict, old, replicas)
        if isinstance(chosen, PromotionResult):
            await self.resume(replicas)
            return chosen
        result = await self.order(duty, chosen)
        # An order that may still be carried out needs the pauses to stay: what the
        # replicas receive from now on, the successor may lack.
        if result in SURELY_NOT_CARRIED_OUT:
            await self.resume(replicas)
        return result

    async def find_successor(
        self,
        duty: Duty,
        term: int,
        verdict: Verdict,
        old: list[Contact],
        replicas: list[Contact],
    ) -> Contact | PromotionResult:
        """Pause the others and wait until one replica holds what all of them do.

        Returns:
            That replica, or why there is none.
        """
        primary_serves = verdict is Verdict.LEAVING
        needed = self.group.limits.acknowledging_replicas
        while duty.is_held:
            states = [describe(contact) for contact in replicas]
            candidate_id = choose_candidate(states, primary_serves)
            for contact in replicas:
                if contact.member.member_id != candidate_id and not contact.is_paused:
                    await contact.pause(term)
            chosen = [c for c in replicas if c.member.member_id == candidate_id]
            if chosen and chosen[0].status is not None:
                if not chosen[0].is_paused:
                    await chosen[0].ask(OWN_STATUS)
                states = [describe(contact) for contact in replicas]
                if is_safe_successor(chosen[0].member.member_id, states, needed):
                    return chosen[0]
                # While one is silent its pause decides nothing and would hold up the
                # commits of a primary that is only out of reach from here.
                all_answer = all(each.received is not None for each in states)
                if all_answer and not primary_serves and not chosen[0].is_paused:
                    await chosen[0].pause(term)
            self.log_unsafe(states)
            await asyncio.sleep(LOOK_PAUSE_S)
            is_back, _ = await asyncio.gather(
                self.is_back(verdict, old), self.look_again(replicas)
            )
            if is_back:
                return PromotionResult.NOT_NEEDED
        return PromotionResult.NO_SAFE_SUCCESSOR

    async def is_back(self, verdict: Verdict, old: list[Contact]) -> bool:
        """Return whether the primary that seemed lost leads after all."""
        if verdict not in ENDED_BY_ANSWERS:
            return False
        for contact in old:
            if contact.link is None or not contact.link.is_open:
                await contact.open_own(LOST_QUESTION_TIMEOUT_S)
            else:
                await contact.ask(OWN_STATUS)
            if await self.finds_leading(contact):
                return True
        return False

    async def look_again(self, replicas: list[Contact]) -> None:
        """Ask those that wait to catch up, and connect again to the silent ones."""
        for contact in replicas:
            if contact.link is None or not contact.link.is_open:
                contact.is_paused = False
                await contact.open()
            elif not contact.is_paused:
                await contact.ask(OWN_STATUS)

    async def order(self, duty: Duty, chosen: Contact) -> PromotionResult:
        """Order the promotion and wait until the upstream leads."""
        if not duty.is_held:
            return PromotionResult.NOT_HELD
        member = chosen.member
        outcome = await self.orders.promote(
            PromotionOrder(
                self.group.name, member.member_id, self.name, duty.fencing_token
            )
        )
        received = chosen.status.received if chosen.status is not None else None
        logger.bind(
            group=self.group.name,
            upstream=member.member_id,
            fencing_token=duty.fencing_token,
            received=str(received),
            outcome=str(outcome),
        ).info("promotion_ordered")
        if isinstance(outcome, Ok) and outcome.ok_value is OrderOutcome.REFUSED:
            return PromotionResult.REFUSED
        if isinstance(outcome, Err):
            return PromotionResult.NOT_TAKEN
        give_up_s = boot_time_s() + LEAD_WAIT_S
        while boot_time_s() < give_up_s:
            if await self.note_lead(chosen):
                return PromotionResult.LEADS
            await asyncio.sleep(LEAD_PAUSE_S)
        if outcome == Ok(OrderOutcome.UNANSWERED):
            return PromotionResult.UNANSWERED
        return PromotionResult.NOT_LEADING

    async def resume(self, replicas: list[Contact]) -> None:
        """Let paused replicas receive again."""
        for contact in replicas:
            await contact.resume()

    def log_unsafe(self, states: list[ReplicaState]) -> None:
        """Log why no replica may lead yet."""
        logger.bind(
            group=self.group.name,
            replicas={
                each.member_id: f"{each.received} paused={each.is_paused}"
                for each in states
            },
        ).warning("promotion_waits")


def describe(contact: Contact) -> ReplicaState:
    """Return what is known of an upstream for the choice of the successor."""
    status = contact.status
    return ReplicaState(
        member_id=contact.member.member_id,
        received=status.received if status is not None else None,
        is_paused=contact.is_paused and status is not None,
        is_leaving=contact.member.entry.is_leaving,
    )
