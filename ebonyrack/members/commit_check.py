"""Checks with the replicas of a group that an acknowledged commit can't be lost."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

from ebonyrack.core.clock import boot_time_s
from ebonyrack.core.clock import now_s
from ebonyrack.core.position import LogPosition
from ebonyrack.members.batched_check import BatchedCheck
from ebonyrack.members.member import Member
from ebonyrack.members.replica_status import ReplicaAsker
from ebonyrack.members.replica_status import list_established_replicas
from ebonyrack.members.replica_status import request_status
from ebonyrack.placing.commit_safety import REPLICA_DELAY_LIMIT_S
from ebonyrack.placing.commit_safety import CommitVerdict
from ebonyrack.placing.commit_safety import GroupObservation
from ebonyrack.placing.commit_safety import ReplicaReply
from ebonyrack.placing.commit_safety import find_doubt
from ebonyrack.placing.commit_safety import is_acknowledged_unseen
from ebonyrack.placing.commit_safety import is_conclusive
from ebonyrack.placing.commit_safety import judge_commit

if TYPE_CHECKING:
    from ebonyrack.members.group import Group

# Pause before the replicas are asked again, as they receive commits within some
# milliseconds of each other; each later pause is twice as long.
FIRST_PAUSE_S = 0.01
LONGEST_PAUSE_S = 0.16


class CommitCheck(BatchedCheck[list[ReplicaReply]]):
    """Looks for commits at the replicas, in one request for all that wait.

    Attributes:
        group: The group.
        asker: Asks the replicas.
        wanted: Newest position that is waited for.
    """

    __slots__ = ("group", "asker", "wanted")

    def __init__(self, group: Group) -> None:
        super().__init__()
        self.group = group
        self.asker = ReplicaAsker(self.ask, self.is_conclusive)
        self.wanted = LogPosition(0, 0)

    async def stop(self) -> None:
        """Wait until the checks have ended; commits wait for them."""
        await super().stop()
        await self.asker.stop()

    async def confirm(
        self, primary: Member, position: LogPosition | None, timeout_s: float
    ) -> str | None:
        """Wait until it is certain that a commit outlives a change of primary.

        Args:
            primary: The upstream that acknowledged it.
            position: Position of its log with the commit.
            timeout_s: Seconds to wait.

        Returns:
            None, or why it isn't certain.
        """
        if position is None or self.group.limits.acknowledging_replicas == 0:
            return None
        doubt = find_doubt(self.observe(primary))
        if doubt is None:
            return None
        has_established = bool(list_established_replicas(self.group, primary))
        if is_acknowledged_unseen(doubt, has_established):
            return None
        verdict = await self.wait_for_replica(position, now_s() + timeout_s)
        if verdict is CommitVerdict.HELD:
            return None
        logger.bind(
            group=self.group.name,
            upstream=primary.member_id,
            position=str(position),
            doubt=doubt,
            verdict=verdict,
        ).warning("commit_not_confirmed")
        return f"{doubt}; the commit is {verdict}"

    def observe(self, primary: Member) -> GroupObservation:
        """Return what is known of the group and its primary now."""
        now = boot_time_s()
        replicas = [each for each in self.group.members.values() if each is not primary]
        positions = [
            each.position
            for each in replicas
            if each.position is not None
            and now - each.position_at_s < REPLICA_DELAY_LIMIT_S
        ]
        known_since_s = (each.known_since_s for each in self.group.members.values())
        return GroupObservation(
            primary_calm_for_s=primary.liveness.measure_calm(self.group.led_since_s),
            newest_join_s=now - max(known_since_s, default=float("-inf")),
            earlier_position=self.group.position_history.find_newest_before(
                now - REPLICA_DELAY_LIMIT_S
            ),
            replica_position=max(positions, default=None),
        )

    async def wait_for_replica(
        self, position: LogPosition, deadline_s: float
    ) -> CommitVerdict:
        """Ask the replicas until one that counts has the position.

        Args:
            position: The position.
            deadline_s: Monotonic time at which to give up.
        """
        pause_s = FIRST_PAUSE_S
        while True:
            self.wanted = max(self.wanted, position)
            replies = await asyncio.shield(self.request())
            verdict = self.judge(position, replies)
            if verdict is not CommitVerdict.NOT_SHOWN:
                return verdict
            if now_s() + pause_s > deadline_s:
                return verdict
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, LONGEST_PAUSE_S)

    def judge(
        self, position: LogPosition, replies: list[ReplicaReply]
    ) -> CommitVerdict:
        """Return what replies and the known primary say about a commit."""
        if self.group.primary_tracker.confirmed_term > position.term:
            return CommitVerdict.REPLACED
        is_complete = len(replies) >= len(self.group.members) - 1
        return judge_commit(position, replies, is_complete)

    async def run(self) -> list[ReplicaReply]:
        """Ask the replicas, until one has the newest position that is waited for."""
        primary = self.group.primary
        if primary is None:
            return []
        replicas = list_established_replicas(self.group, primary)
        found = await self.asker.run(replicas)
        return [reply for reply in found if reply is not None]

    def is_conclusive(self, reply: ReplicaReply | None) -> bool:
        """Return whether no other replica has to be asked."""
        if reply is None:
            return False
        return is_conclusive(self.wanted, reply)

    async def ask(self, replica: Member) -> ReplicaReply | None:
        """Ask one replica for its status."""
        status = await request_status(self.group, replica)
        if status is None:
            return None
        since_s = max(replica.known_since_s, replica.liveness.interrupted_at_s)
        return ReplicaReply(status, boot_time_s() - since_s)
