"""The end of the lead of a primary that replies, and who succeeds it then.

The end of its log is known once it is a replica: it covers all commits that it ever
acknowledged, also those that only upstreams received which have left since. If no
replica may be promoted, it is the primary itself, so nothing is lost in any case.
"""

from __future__ import annotations

import asyncio

from loguru import logger
from msgspec import Struct

from ebonyrack.promotion.candidate_search import CandidateSearch
from ebonyrack.promotion.entry_refresh import ReadEntries
from ebonyrack.promotion.participant import PromotionParticipant
from ebonyrack.promotion.planned_change import MINIMUM_LEASE_S
from ebonyrack.promotion.result import PromotionResult
from ebonyrack.requests.request import STATUS_REQUEST


class EndedLead(Struct):
    """Makes a primary that replies a replica, and chooses its successor.

    Attributes:
        search: The participants of the change and its lease.
        former: The primary.
        read_entries: Reads the upstreams' entries once.
    """

    search: CandidateSearch
    former: PromotionParticipant
    read_entries: ReadEntries

    async def choose(
        self, candidate: PromotionParticipant
    ) -> PromotionParticipant | PromotionResult:
        """Make the primary a replica; return the upstream to be promoted.

        Args:
            candidate: The upstream that was safe while the primary led, or the primary.
        """
        search = self.search
        if search.lease.remaining_s < MINIMUM_LEASE_S:
            return PromotionResult.NO_SAFE_SUCCESSOR
        await search.end_lead(self.former)
        await self.read_entries()
        await self.compare_again(candidate)
        # It may have left since.
        if candidate in search.replicas and await search.is_safe(candidate):
            return candidate
        return await self.choose_holder()

    async def compare_again(self, candidate: PromotionParticipant) -> None:
        """Update the replicas; commits may have counted with one that has joined."""
        search = self.search
        await asyncio.gather(
            *(
                each.request_status(STATUS_REQUEST)
                for each in search.replicas
                if each.is_connected
            )
        )
        await search.refresh_replicas()
        await search.update_replicas()
        await search.pause_others(candidate)

    async def choose_holder(self) -> PromotionParticipant | PromotionResult:
        """Return an upstream that holds the whole log of the former primary."""
        search = self.search
        if not search.has_stepped_down:
            return PromotionResult.NO_SAFE_SUCCESSOR
        former_id = self.former.member.member_id
        holder = search.find_holder()
        if holder is not None and await search.is_safe(holder):
            return holder
        if search.required_id not in (None, former_id):
            return PromotionResult.NO_SAFE_SUCCESSOR
        logger.bind(group=search.group.name, upstream=former_id).info(
            "former_primary_keeps_lead"
        )
        return self.former
