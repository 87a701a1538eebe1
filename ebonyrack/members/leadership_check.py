"""Checks with the replicas of a group that its presumed primary still leads.

One check serves all requests that arrive before its status requests are sent.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger
from result import Err

from ebonyrack.core.clock import boot_time_s
from ebonyrack.core.clock import now_s
from ebonyrack.core.errors import RequestError
from ebonyrack.core.tasks import end_tasks
from ebonyrack.members.link import ReplyTimeoutError
from ebonyrack.members.member import Member
from ebonyrack.placing.leadership import MINIMUM_KNOWN_S
from ebonyrack.placing.leadership import MINIMUM_RUNNING_S
from ebonyrack.placing.leadership import LeadershipVerdict
from ebonyrack.placing.leadership import judge_replica_status
from ebonyrack.pooling.upstream_lost import UpstreamLostError
from ebonyrack.requests.reply import UpstreamStatus
from ebonyrack.requests.request import STATUS_REQUEST

if TYPE_CHECKING:
    from ebonyrack.members.group import Group

# A replica with a free slot replies within a few milliseconds, and within the time of a
# statement or two otherwise; after this time another one is asked as well.
HEDGE_DELAY_S = 0.05
# Limit on one check. A caller that is refused by then can still try another proxy.
CHECK_TIMEOUT_S = 0.25
# Caller name under which status requests wait for a connection.
CHECK_CALLER = "ebonyrack leadership"

# Verdicts after which no other replica has to be asked.
CONCLUSIVE = frozenset(
    {
        LeadershipVerdict.LEADS,
        LeadershipVerdict.CHANGING,
        LeadershipVerdict.REPLACED,
    }
)


class LeadershipCheck:
    """Runs the leadership checks of one group, one at a time.

    Attributes:
        group: The group.
        running: The check whose status requests may have been sent, or None.
        next: The check that starts after it, or None.
        asking: Requests to replicas without a reply.
    """

    __slots__ = ("group", "running", "next", "asking")

    def __init__(self, group: Group) -> None:
        self.group = group
        self.running: asyncio.Task[LeadershipVerdict] | None = None
        self.next: asyncio.Task[LeadershipVerdict] | None = None
        self.asking: set[asyncio.Task[LeadershipVerdict]] = set()

    async def stop(self) -> None:
        """Wait until the checks have ended; requests wait for their verdicts."""
        tasks = [task for task in (self.running, self.next) if task is not None]
        if tasks:
            await asyncio.wait(tasks)
        await end_tasks(list(self.asking))

    def start(self) -> asyncio.Task[LeadershipVerdict]:
        """Return a check whose status requests are sent after this call.

        Others may share the task, so it must not be cancelled.
        """
        if self.next is None:
            self.next = asyncio.create_task(self.run_after(self.running))
        return self.next

    async def run_after(
        self, earlier: asyncio.Task[LeadershipVerdict] | None
    ) -> LeadershipVerdict:
        """Run a check after an earlier one has ended."""
        if earlier is not None:
            await asyncio.wait([earlier])
        self.running, self.next = self.next, None
        verdict = await self.ask_replicas()
        self.group.record_verdict(verdict)
        return verdict

    async def ask_replicas(self) -> LeadershipVerdict:
        """Ask one replica after the other, without waiting long for each."""
        primary = self.group.primary
        if primary is not None and self.group.needs_status_of(primary):
            await self.ask_primary(primary)
        if primary is None or self.group.needs_status_of(primary):
            return LeadershipVerdict.INCONCLUSIVE
        term = self.group.primary_tracker.confirmed_term
        remaining = self.list_replicas(primary)
        pending: set[asyncio.Task[LeadershipVerdict]] = set()
        deadline_s = now_s() + CHECK_TIMEOUT_S
        verdict = LeadershipVerdict.INCONCLUSIVE
        while (remaining or pending) and verdict not in CONCLUSIVE:
            if remaining:
                pending.add(self.start_asking(remaining.pop(0), term))
            wait_s = deadline_s - now_s()
            if wait_s <= 0:
                break
            done, pending = await asyncio.wait(
                pending,
                timeout=min(wait_s, HEDGE_DELAY_S) if remaining else wait_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                if verdict not in CONCLUSIVE:
                    verdict = task.result()
        if verdict is not LeadershipVerdict.LEADS:
            logger.bind(
                group=self.group.name,
                upstream=primary.member_id,
                term=term,
                verdict=verdict,
            ).info("leadership_not_shown")
        return verdict

    async def ask_primary(self, primary: Member) -> None:
        """Ask the presumed primary for its term, which is not known yet."""
        status = await self.request_status(primary)
        if status is not None:
            self.group.record_status(primary, status)

    def list_replicas(self, primary: Member) -> list[Member]:
        """Return the replicas whose status counts, the best one first."""
        now = boot_time_s()
        replicas = [
            member
            for member in self.group.members.values()
            if member is not primary
            and member.is_reachable
            and now - member.liveness.refused_at_s > MINIMUM_RUNNING_S
            and now - member.known_since_s > MINIMUM_KNOWN_S
        ]
        return sorted(
            replicas,
            key=lambda member: (
                now < member.deprioritized_until_s,
                not member.pool.idle,
                member.pool.estimate_wait(CHECK_CALLER) > 0,
                member.entry.data_centre != self.group.data_centre,
                member.member_id,
            ),
        )

    def start_asking(
        self, replica: Member, term: int
    ) -> asyncio.Task[LeadershipVerdict]:
        """Ask a replica in a task that may outlast the check.

        Cancelling the request would close its connection.
        """
        task = asyncio.create_task(self.ask(replica, term))
        self.asking.add(task)
        task.add_done_callback(self.asking.discard)
        return task

    async def ask(self, replica: Member, term: int) -> LeadershipVerdict:
        """Ask one replica for its status."""
        status = await self.request_status(replica)
        if status is None:
            return LeadershipVerdict.INCONCLUSIVE
        self.group.record_status(replica, status)
        return judge_replica_status(status, term)

    async def request_status(self, replica: Member) -> UpstreamStatus | None:
        """Return the status of a replica, None if it doesn't tell it in time."""
        try:
            link = await replica.pool.acquire(
                CHECK_CALLER, now_s() + CHECK_TIMEOUT_S, account=None
            )
        except (RequestError, UpstreamLostError) as error:
            self.log_unanswered(replica, str(error))
            return None
        try:
            found = await link.request_status(STATUS_REQUEST, CHECK_TIMEOUT_S)
        except (UpstreamLostError, ReplyTimeoutError) as error:
            self.log_unanswered(replica, repr(error))
            return None
        finally:
            replica.pool.release(link)
        if isinstance(found, Err):
            self.log_unanswered(replica, found.err_value)
            return None
        return found.ok_value

    def log_unanswered(self, replica: Member, reason: str) -> None:
        """Log a replica that didn't tell its status."""
        logger.bind(
            group=self.group.name, upstream=replica.member_id, reason=reason
        ).debug("replica_status_unknown")
