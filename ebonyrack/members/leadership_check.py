"""Checks with the replicas of a group that its presumed primary still leads."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from ebonyrack.members.batched_check import BatchedCheck
from ebonyrack.members.member import Member
from ebonyrack.members.replica_status import ReplicaAsker
from ebonyrack.members.replica_status import list_established_replicas
from ebonyrack.members.replica_status import request_status
from ebonyrack.placing.leadership import LeadershipVerdict
from ebonyrack.placing.leadership import judge_replica_status

if TYPE_CHECKING:
    from ebonyrack.members.group import Group

# Verdicts after which no other replica has to be asked.
CONCLUSIVE = frozenset(
    {
        LeadershipVerdict.LEADS,
        LeadershipVerdict.CHANGING,
        LeadershipVerdict.REPLACED,
    }
)


class LeadershipCheck(BatchedCheck[LeadershipVerdict]):
    """Runs the leadership checks of one group, one at a time.

    Attributes:
        group: The group.
        asker: Asks the replicas.
    """

    __slots__ = ("group", "asker")

    def __init__(self, group: Group) -> None:
        super().__init__()
        self.group = group
        self.asker = ReplicaAsker(self.ask, CONCLUSIVE.__contains__)

    async def stop(self) -> None:
        """Wait until the checks have ended; requests wait for their verdicts."""
        await super().stop()
        await self.asker.stop()

    async def run(self) -> LeadershipVerdict:
        """Run one check and record its verdict."""
        verdict = await self.ask_replicas()
        self.group.record_verdict(verdict)
        return verdict

    async def ask_replicas(self) -> LeadershipVerdict:
        """Ask the replicas whether the presumed primary leads."""
        primary = self.group.primary
        if primary is not None and self.group.needs_status_of(primary):
            # Its term is not known yet.
            await request_status(self.group, primary)
        if primary is None or self.group.needs_status_of(primary):
            return LeadershipVerdict.INCONCLUSIVE
        replicas = list_established_replicas(self.group, primary)
        verdicts = await self.asker.run(replicas)
        verdict = verdicts[-1] if verdicts else LeadershipVerdict.INCONCLUSIVE
        if verdict is not LeadershipVerdict.LEADS:
            logger.bind(
                group=self.group.name,
                upstream=primary.member_id,
                term=self.group.primary_tracker.confirmed_term,
                verdict=verdict,
            ).info("leadership_not_shown")
        return verdict

    async def ask(self, replica: Member) -> LeadershipVerdict:
        """Ask one replica for its status."""
        term = self.group.primary_tracker.confirmed_term
        status = await request_status(self.group, replica)
        if status is None:
            return LeadershipVerdict.INCONCLUSIVE
        return judge_replica_status(status, term)
