"""Serves a read outside a transaction: places it, and again elsewhere if need be."""

from __future__ import annotations

import asyncio

from ebonyrack.core import metrics
from ebonyrack.core.clock import now_s
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.core.logs import log_decision
from ebonyrack.core.logs import log_failure
from ebonyrack.core.position import LogPosition
from ebonyrack.members.link import ReplyTimeoutError
from ebonyrack.members.link import UpstreamLink
from ebonyrack.members.member import Member
from ebonyrack.members.read_candidates import check_shedding
from ebonyrack.members.read_candidates import order_upstreams
from ebonyrack.pooling.upstream_lost import UpstreamLostError
from ebonyrack.requests.reply import RejectionKind
from ebonyrack.requests.reply import Reply
from ebonyrack.serving.read_requirement import ReadRequirement
from ebonyrack.serving.read_requirement import find_requirement
from ebonyrack.serving.statement import Statement
from ebonyrack.serving.statement import read_at_proven_primary
from ebonyrack.serving.statement import set_up_session

# Every upstream is tried several times; more tries mean a group in trouble.
MAXIMUM_ATTEMPTS = 16
# All upstreams lack the position or turn work away: one applies a commit in about
# this time.
ROUND_PAUSE_S = 0.01
LONGEST_PAUSE_S = 0.1


class ReadPlacement:
    """One read on its way through the upstreams.

    Attributes:
        statement: The read.
        requirement: What it must see.
        read: What placing it needs to know.
        tried: Upstreams that were tried in this round.
        queued_s: Seconds for which it waited for the connection that served it.
        rounds: Rounds through all upstreams that have ended.
        was_sent: Whether an upstream was working on it.
        last: The last rejection, or None.
    """

    __slots__ = (
        "statement",
        "requirement",
        "read",
        "tried",
        "queued_s",
        "rounds",
        "was_sent",
        "last",
    )

    def __init__(self, statement: Statement, requirement: ReadRequirement) -> None:
        self.statement = statement
        self.requirement = requirement
        self.read = statement.build_placement_request(requirement.position)
        self.tried: set[str] = set()
        self.queued_s = 0.0
        self.rounds = 0
        self.was_sent = False
        self.last: Reply | None = None

    async def serve(self) -> Reply:
        """Try upstreams until one answers.

        Returns:
            The reply, without a rejection.

        Raises:
            RequestError: If none answers within the time of the route.
        """
        for number in range(MAXIMUM_ATTEMPTS):
            self.statement.check_deadline(self.was_sent)
            member = await self.choose()
            reply = await self.try_member(member)
            if reply is None:
                continue
            if reply.rejection is None:
                self.log_placed(member, number)
                return reply
            self.record_rejection(member, reply)
        raise self.build_failure()

    async def choose(self) -> Member:
        """Return the upstream to try next.

        Raises:
            RequestError: If none can serve it, or it gives way to others.
        """
        group = self.statement.group
        if self.requirement.position is None:
            if self.rounds > 0:
                await asyncio.sleep(self.compute_pause())
            self.rounds += 1
            primary = await group.wait_for_primary(self.statement.deadline_s)
            check_shedding(group, self.read, primary)
            return primary
        order = order_upstreams(group, self.read, self.tried)
        if not order:
            self.tried.clear()
            await asyncio.sleep(self.compute_pause())
            self.rounds += 1
            order = order_upstreams(group, self.read, self.tried)
        if not order:
            raise RequestError(
                ErrorKind.NO_UPSTREAM, "no upstream of the group answers"
            )
        return group.members[order[0]]

    def continue_elsewhere(self, refusal: RequestError) -> None:
        """Go on elsewhere after a queue has refused the read, if there is elsewhere.

        Raises:
            RequestError: The refusal, if every other upstream was tried.
        """
        others = order_upstreams(self.statement.group, self.read, self.tried)
        if self.requirement.position is None or not others:
            raise refusal

    def compute_pause(self) -> float:
        """Return the pause before the next round, each twice as long as the last."""
        pause_s = ROUND_PAUSE_S * 2.0 ** max(0, self.rounds - 1)
        return min(pause_s, LONGEST_PAUSE_S, max(0.0, self.statement.remaining_s))

    async def try_member(self, member: Member) -> Reply | None:
        """Run the read at one upstream.

        Returns:
            Its reply, or None if none came.

        Raises:
            RequestError: If it can't be served within the time of the route.
        """
        statement = self.statement
        self.tried.add(member.member_id)
        queued_at_s = now_s()
        try:
            link = await member.pool.acquire(
                statement.caller, statement.connection_deadline_s
            )
        except UpstreamLostError as error:
            self.record_lost(member, error.reason)
            return None
        except RequestError as error:
            member.deprioritize()
            self.continue_elsewhere(error)
            return None
        started_s = now_s()
        self.queued_s = started_s - queued_at_s
        try:
            self.was_sent = True
            reply = await self.read_at(member, link)
        except UpstreamLostError as error:
            self.record_lost(member, error.reason)
            return None
        except ReplyTimeoutError:
            # Its reply takes at least as long; else one that has turned slow would be
            # given up again and again.
            member.record_reply_time(now_s() - started_s)
            self.record_lost(member, "no reply within what its reply times let expect")
            return None
        finally:
            member.pool.release(link)
        if reply.rejection is None:
            member.record_reply_time(now_s() - started_s)
        member.record_position(reply.position)
        return reply

    async def read_at(self, member: Member, link: UpstreamLink) -> Reply:
        """Set the connection up and read."""
        await set_up_session(self.statement, link)
        limit_s = min(self.statement.remaining_s, member.silence_limit_s)
        if self.requirement.position is None:
            return await read_at_proven_primary(self.statement, member, link, limit_s)
        request = self.statement.request.with_position(self.requirement.position)
        (reply,) = await link.exchange([request], limit_s)
        return reply

    def record_rejection(self, member: Member, reply: Reply) -> None:
        """Learn from a rejection; the read goes elsewhere."""
        self.last = reply
        member.record_rejection(reply, self.requirement.position)
        log_failure(
            "read_rejected",
            request=self.statement.request.log_id,
            group=self.statement.group.name,
            upstream=member.member_id,
            reason=reply.detail,
            position=str(self.requirement.position),
            age_s=round(self.requirement.age_s, 3),
        )

    def record_lost(self, member: Member, reason: str) -> None:
        """Learn from a lost connection; the read goes elsewhere."""
        member.deprioritize()
        log_failure(
            "read_upstream_lost",
            request=self.statement.request.log_id,
            group=self.statement.group.name,
            upstream=member.member_id,
            reason=reason,
        )

    def log_placed(self, member: Member, tries: int) -> None:
        """Log and count where the read was served."""
        role = "primary" if member is self.statement.group.primary else "replica"
        metrics.placements.add(1, {"group": self.statement.group.name, "role": role})
        elapsed_s = self.statement.elapsed_s
        is_late = elapsed_s > self.statement.route.target_latency_s
        log = log_failure if is_late else log_decision
        log(
            "read_late" if is_late else "read_placed",
            request=self.statement.request.log_id,
            group=self.statement.group.name,
            upstream=member.member_id,
            role=role,
            position=str(self.requirement.position),
            age_s=round(self.requirement.age_s, 3),
            tries=tries + 1,
            queued_s=round(self.queued_s, 4),
            elapsed_s=round(elapsed_s, 4),
        )

    def build_failure(self) -> RequestError:
        """Build the error after the last try; reads keep nothing."""
        if self.last is not None and self.last.rejection is RejectionKind.FAILED:
            return RequestError(ErrorKind.STATEMENT_FAILED, self.last.detail)
        if self.last is not None and self.last.rejection is RejectionKind.TIMED_OUT:
            return RequestError(ErrorKind.STATEMENT_TIMED_OUT, self.last.detail)
        reason = self.last.detail if self.last is not None else "connections were lost"
        return RequestError(ErrorKind.NO_UPSTREAM, reason)


async def serve_read(statement: Statement, last_commit: LogPosition | None) -> Reply:
    """Serve a read outside a transaction.

    Args:
        statement: The read.
        last_commit: Position of the session's own newest commit, or None.

    Returns:
        The reply, without a rejection.

    Raises:
        RequestError: If it can't be served.
    """
    requirement = find_requirement(
        statement.route, statement.group, last_commit, statement.arrived_s
    )
    return await ReadPlacement(statement, requirement).serve()
