"""A planned change: the primary steps down before another upstream is promoted.

Once the primary is a replica, no commit of its term counts any more, with whatever
replica: also with one that has joined since and that nobody has paused. All commits
that it acknowledged are in its log, so any replica that holds this log may be promoted,
and no other replica has to reply.
"""

from __future__ import annotations

import asyncio

from loguru import logger
from msgspec import Struct

from ebonyrack.core.clock import boot_time_s
from ebonyrack.core.position import LogPosition
from ebonyrack.promotion.candidate_search import CandidateSearch
from ebonyrack.promotion.participant import PromotionParticipant
from ebonyrack.promotion.result import PromotionResult
from ebonyrack.requests.request import STATUS_REQUEST

# The primary steps down only if the lease lasts this long after it: for the order, one
# repetition, and the order that restores its lead.
MINIMUM_LEASE_S = 1.8
# Replicas receive within this time what the primary sent before it stepped down.
CATCH_UP_S = 0.3
# Pause between two status requests to the replicas.
RECHECK_PAUSE_S = 0.02


class PlannedChange(Struct):
    """One change of a primary that can be reached.

    Attributes:
        search: The participants of the change and its lease.
        former: The primary.
    """

    search: CandidateSearch
    former: PromotionParticipant

    async def run(self) -> PromotionParticipant | PromotionResult:
        """Make the primary step down and find the replica that holds its log.

        Returns:
            The upstream to be promoted: such a replica, or the primary itself if there
            is none. The result of the attempt if the primary did not step down.
        """
        has_successor = await self.wait_for_successor()
        if self.search.has_serving_primary:
            return PromotionResult.NOT_NEEDED
        if not has_successor:
            return PromotionResult.NO_SAFE_SUCCESSOR
        await self.search.end_lead(self.former)
        final_position = self.search.primary_position
        if final_position is None:
            return PromotionResult.NO_SAFE_SUCCESSOR
        chosen = await self.wait_for_holder()
        if chosen is None:
            return self.find_fallback(final_position)
        await self.pause_replicas(chosen)
        return chosen

    async def wait_for_successor(self) -> bool:
        """Wait, while the primary serves, until a replica keeps up with it."""
        while self.search.lease.remaining_s > MINIMUM_LEASE_S:
            status = self.former.status
            if status is None or not status.is_primary:
                return False
            # The replicas are asked after the primary, so one that keeps up holds it.
            await self.refresh_replicas()
            self.search.primary_position = status.received
            if self.search.find_holder() is not None:
                return True
            await asyncio.sleep(RECHECK_PAUSE_S)
            await self.search.update_replicas()
            if self.search.has_serving_primary:
                return False
            await self.former.request_status(STATUS_REQUEST)
        self.log_no_successor("no replica keeps up with the primary")
        return False

    async def wait_for_holder(self) -> PromotionParticipant | None:
        """Wait for a replica that holds the whole log of the former primary."""
        deadline_s = boot_time_s() + CATCH_UP_S
        while True:
            await self.refresh_replicas()
            chosen = self.search.find_holder()
            if chosen is not None or boot_time_s() > deadline_s:
                return chosen
            await asyncio.sleep(RECHECK_PAUSE_S)

    def find_fallback(
        self, final_position: LogPosition
    ) -> PromotionParticipant | PromotionResult:
        """Return the primary itself, unless an earlier order names another upstream."""
        self.log_no_successor(f"no replica holds {final_position}")
        if self.search.required_id is not None:
            return PromotionResult.NO_SAFE_SUCCESSOR
        return self.former

    async def refresh_replicas(self) -> None:
        """Update the status of the replicas that are connected and not paused."""
        await asyncio.gather(
            *(
                participant.request_status(STATUS_REQUEST)
                for participant in self.search.replicas
                if participant.is_connected and not participant.is_paused
            )
        )

    async def pause_replicas(self, chosen: PromotionParticipant) -> None:
        """Pause the replicas that reply.

        No commit could count with them before the former primary restarts, and leads
        again because nobody was promoted yet.
        """
        await asyncio.gather(
            *(
                self.search.pause(participant)
                for participant in self.search.replicas
                if participant.is_connected
                and (participant is not chosen or self.search.pauses_candidate)
            )
        )

    def log_no_successor(self, reason: str) -> None:
        """Log why no replica can succeed the primary."""
        logger.bind(
            group=self.search.group.name,
            upstream=self.former.member.member_id,
            reason=reason,
            replicas={
                each.member_id: str(each.received) for each in self.search.list_states()
            },
        ).warning("planned_change_without_successor")
