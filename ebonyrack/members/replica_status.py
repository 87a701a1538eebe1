"""Asks the replicas of a group for their status, without waiting long for each."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

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
from ebonyrack.pooling.upstream_lost import UpstreamLostError
from ebonyrack.requests.reply import UpstreamStatus
from ebonyrack.requests.request import STATUS_REQUEST

if TYPE_CHECKING:
    from ebonyrack.members.group import Group

# A replica with a free slot replies within a few milliseconds, and within the time of a
# statement or two otherwise; after this time another one is asked as well.
HEDGE_DELAY_S = 0.05
# Limit on asking once.
CHECK_TIMEOUT_S = 0.25
# Caller name under which status requests wait for a connection.
CHECK_CALLER = "ebonyrack leadership"

Finding = TypeVar("Finding")


class ReplicaAsker(Generic[Finding]):
    """Asks one replica after the other until a reply is conclusive.

    Attributes:
        ask: Asks one replica.
        is_conclusive: Whether no other replica has to be asked after a finding.
        asking: Requests without a reply.
    """

    __slots__ = ("ask", "is_conclusive", "asking")

    def __init__(
        self,
        ask: Callable[[Member], Awaitable[Finding]],
        is_conclusive: Callable[[Finding], bool],
    ) -> None:
        self.ask = ask
        self.is_conclusive = is_conclusive
        self.asking: set[asyncio.Task[Finding]] = set()

    async def stop(self) -> None:
        """Cancel the requests without a reply."""
        await end_tasks(list(self.asking))

    async def run(self, replicas: list[Member]) -> list[Finding]:
        """Ask replicas, each a short time after the one before.

        Args:
            replicas: The replicas, the best one first.

        Returns:
            The findings; the last one may be conclusive.
        """
        remaining = list(replicas)
        pending: set[asyncio.Task[Finding]] = set()
        findings: list[Finding] = []
        deadline_s = now_s() + CHECK_TIMEOUT_S
        while remaining or pending:
            if remaining:
                pending.add(self.start_asking(remaining.pop(0)))
            wait_s = deadline_s - now_s()
            if wait_s <= 0:
                break
            done, pending = await asyncio.wait(
                pending,
                timeout=min(wait_s, HEDGE_DELAY_S) if remaining else wait_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                findings.append(task.result())
                if self.is_conclusive(findings[-1]):
                    return findings
        return findings

    def start_asking(self, replica: Member) -> asyncio.Task[Finding]:
        """Ask a replica in a task that may outlast the check.

        Cancelling the request would close its connection.
        """
        task: asyncio.Task[Finding] = asyncio.ensure_future(self.ask(replica))
        self.asking.add(task)
        task.add_done_callback(self.asking.discard)
        return task


def list_established_replicas(group: Group, primary: Member) -> list[Member]:
    """Return the replicas that every promotion under way includes, the best first.

    Args:
        group: The group.
        primary: Its presumed primary.
    """
    now = boot_time_s()
    replicas = [
        member
        for member in group.members.values()
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
            member.entry.data_centre != group.data_centre,
            member.member_id,
        ),
    )


async def request_status(group: Group, member: Member) -> UpstreamStatus | None:
    """Return the status of an upstream, None if it doesn't tell it in time."""
    try:
        link = await member.pool.acquire(
            CHECK_CALLER, now_s() + CHECK_TIMEOUT_S, account=None
        )
    except (RequestError, UpstreamLostError) as error:
        log_unanswered(group, member, str(error))
        return None
    try:
        found = await link.request_status(STATUS_REQUEST, CHECK_TIMEOUT_S)
    except (UpstreamLostError, ReplyTimeoutError) as error:
        log_unanswered(group, member, repr(error))
        return None
    finally:
        member.pool.release(link)
    if isinstance(found, Err):
        log_unanswered(group, member, found.err_value)
        return None
    group.record_status(member, found.ok_value)
    return found.ok_value


def log_unanswered(group: Group, member: Member, reason: str) -> None:
    """Log an upstream that didn't tell its status."""
    logger.bind(group=group.name, upstream=member.member_id, reason=reason).debug(
        "replica_status_unknown"
    )
