"""Changes a group's primary: pause, compare, order, and wait until it leads."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import StrEnum

from loguru import logger
from result import Err
from result import Ok

from ebonyrack.core.clock import boot_time_s
from ebonyrack.core.clock import now_s
from ebonyrack.core.errors import RequestError
from ebonyrack.members.group import Group
from ebonyrack.members.link import ReplyTimeoutError
from ebonyrack.members.link import UpstreamLink
from ebonyrack.members.member import Member
from ebonyrack.placing.successor import ReplicaState
from ebonyrack.placing.successor import choose_candidate
from ebonyrack.placing.successor import is_safe_successor
from ebonyrack.placing.suspicion import Verdict
from ebonyrack.pooling.upstream_lost import UpstreamLostError
from ebonyrack.promotion.duty import Duty
from ebonyrack.promotion.duty import give_back
from ebonyrack.promotion.duty import take_duty
from ebonyrack.promotion.order import OrderDesk
from ebonyrack.promotion.order import OrderOutcome
from ebonyrack.promotion.order import PromotionOrder
from ebonyrack.requests.reply import RejectionKind
from ebonyrack.requests.reply import UpstreamStatus
from ebonyrack.requests.request import OWN_BEGIN
from ebonyrack.requests.request import OWN_RESUME
from ebonyrack.requests.request import OWN_ROLLBACK
from ebonyrack.requests.request import OWN_STATUS
from ebonyrack.requests.request import Request
from ebonyrack.requests.request import build_pause
from ebonyrack.store.leasing_store import LeasingStore

# One question to an upstream, a connection included.
QUESTION_TIMEOUT_S = 0.5
# One question to a primary that seems lost; whoever answers later is too late.
LOST_QUESTION_TIMEOUT_S = 0.15
# An idle connection of the pool is taken if one comes free in this time.
POOL_WAIT_S = 0.03
# Name under which a promotion waits for a connection.
PROMOTER = "ebonyrack promotion"
# Between two looks at replicas that must catch up or answer.
LOOK_PAUSE_S = 0.05
# Between two questions whether the new primary leads.
LEAD_PAUSE_S = 0.05
# An upstream whose slots are all taken is asked again after this.
BUSY_PAUSE_S = 0.03
# An order takes the platform up to a second; after this it is given another turn.
LEAD_WAIT_S = 2.0


class PromotionResult(StrEnum):
    """How an attempt ended."""

    LEADS = "leads"
    NOT_NEEDED = "not_needed"
    NOT_HELD = "not_held"
    NO_SAFE_SUCCESSOR = "no_safe_successor"
    REFUSED = "refused"
    UNANSWERED = "unanswered"
    NOT_LEADING = "not_leading"


@dataclass(slots=True)
class Contact:
    """A connection for one change of primary, and what the upstream said on it.

    The connection stays open from the pause to the order: while it does, the
    upstream has not started anew and lost the pause.

    Attributes:
        member: The upstream.
        link: The connection; None if there is none.
        status: What it said last, or None.
        is_paused: Whether it was paused on this connection.
        is_pooled: Whether the connection is the pool's.
    """

    member: Member
    link: UpstreamLink | None = None
    status: UpstreamStatus | None = None
    is_paused: bool = False
    is_pooled: bool = False

    async def open(self) -> None:
        """Take a connection and ask for the status; failures leave both empty.

        One of the pool is preferred, as the upstream may have none to spare.
        """
        self.close()
        give_up_s = now_s() + POOL_WAIT_S
        try:
            self.link = await self.member.pool.acquire(PROMOTER, give_up_s)
            self.is_pooled = True
        except (RequestError, UpstreamLostError) as error:
            logger.bind(upstream=self.member.member_id, reason=str(error)).debug(
                "promotion_opens_connection"
            )
            await self.open_own(QUESTION_TIMEOUT_S)
            return
        await self.ask(OWN_STATUS)

    async def open_own(self, timeout_s: float) -> None:
        """Open a connection outside the pool and ask for the status."""
        try:
            self.link = await self.member.open_link(timeout_s)
        except UpstreamLostError as error:
            self.log_silent(error.reason)
            return
        await self.ask(OWN_STATUS)

    async def ask(self, request: Request) -> UpstreamStatus | None:
        """Send an order whose answer is the status; return that, None without one."""
        self.status = None
        give_up_s = boot_time_s() + QUESTION_TIMEOUT_S
        while self.link is not None and self.link.is_open:
            try:
                (reply,) = await self.link.exchange([request], QUESTION_TIMEOUT_S)
            except (UpstreamLostError, ReplyTimeoutError) as error:
                self.log_silent(repr(error))
                return None
            if reply.rejection is RejectionKind.BUSY and boot_time_s() < give_up_s:
                await asyncio.sleep(BUSY_PAUSE_S)
                continue
            found = self.link.codec.read_status(reply)
            if isinstance(found, Err):
                self.log_silent(found.err_value)
            else:
                self.status = found.ok_value
            return self.status
        return None

    async def pause(self, term: int) -> None:
        """Stop the upstream from receiving in the terms so far."""
        self.is_paused = await self.ask(build_pause(term)) is not None

    async def leads(self) -> bool:
        """Ask whether the upstream leads now, by a transaction that only then opens."""
        if self.link is None or not self.link.is_open:
            return False
        try:
            replies = await self.link.exchange(
                [OWN_BEGIN, OWN_ROLLBACK], QUESTION_TIMEOUT_S
            )
        except (UpstreamLostError, ReplyTimeoutError) as error:
            self.log_silent(repr(error))
            return False
        return replies[0].rejection is None

    def close(self) -> None:
        """Give the connection back, or drop it."""
        link, self.link = self.link, None
        if link is None:
            return
        if self.is_pooled:
            self.is_pooled = False
            self.member.pool.release(link)
        else:
            link.close()

    def log_silent(self, reason: str) -> None:
        """Log an upstream that did not answer."""
        logger.bind(
            group=self.member.entry.group,
            upstream=self.member.member_id,
            reason=reason,
        ).warning("promotion_contact_silent")


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
            if verdict in (Verdict.SILENT, Verdict.REFUSING, Verdict.UNKNOWN):
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
        asked_at_s = boot_time_s()
        if not await contact.leads():
            return False
        self.group.note_leads(contact.member, asked_at_s, status.received)
        return True

    async def promote_best(
        self,
        duty: Duty,
        verdict: Verdict,
        old: list[Contact],
        replicas: list[Contact],
    ) -> PromotionResult:
        """Find a successor that holds all that was acknowledged and order it."""
        primary_serves = verdict is Verdict.LEAVING
        statuses = [c.status for c in old + replicas if c.status is not None]
        newest = max(
            (max(status.term, status.held_term) for status in statuses), default=0
        )
        chosen = await self.find_successor(duty, newest + 1, primary_serves, replicas)
        if chosen is None:
            await self.resume(replicas)
            return PromotionResult.NO_SAFE_SUCCESSOR
        result = await self.order(duty, chosen)
        if result is not PromotionResult.LEADS:
            # An order that may still be carried out needs the pauses to stay.
            if result is not PromotionResult.UNANSWERED:
                await self.resume(replicas)
        return result

    async def find_successor(
        self, duty: Duty, term: int, primary_serves: bool, replicas: list[Contact]
    ) -> Contact | None:
        """Pause the others and wait until one replica holds what all of them do."""
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
            await self.look_again(replicas)
        return None

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
        give_up_s = boot_time_s() + LEAD_WAIT_S
        while isinstance(outcome, Ok) and boot_time_s() < give_up_s:
            asked_at_s = boot_time_s()
            if await chosen.leads():
                status = await chosen.ask(OWN_STATUS)
                if status is not None:
                    self.group.note_leads(member, asked_at_s, status.received)
                return PromotionResult.LEADS
            await asyncio.sleep(LEAD_PAUSE_S)
        if outcome == Ok(OrderOutcome.UNANSWERED):
            return PromotionResult.UNANSWERED
        return PromotionResult.NOT_LEADING

    async def resume(self, replicas: list[Contact]) -> None:
        """Let paused replicas receive again."""
        for contact in replicas:
            if contact.is_paused:
                await contact.ask(OWN_RESUME)

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
