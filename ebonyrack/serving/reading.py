"""Serves a read outside a transaction, trying other upstreams after a failure."""

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
from ebonyrack.serving.primary_proof import read_in_transaction
from ebonyrack.serving.primary_proof import start_proof
from ebonyrack.serving.read_requirement import ReadRequirement
from ebonyrack.serving.read_requirement import find_requirement
from ebonyrack.serving.statement import Statement
from ebonyrack.serving.statement import set_up_session

# Every upstream is tried several times; a group that needs more attempts is failing.
MAXIMUM_ATTEMPTS = 16
# Pause after all upstreams lacked the position or rejected work; a replica applies a
# commit in about this time. Each further pause is twice as long.
ROUND_PAUSE_S = 0.01
MAXIMUM_PAUSE_S = 0.1


class ReadPlacement:
    """The attempts to serve one read at the upstreams of a group.

    Attributes:
        statement: The read.
        requirement: What it must see.
        read: What its placement depends on.
        tried: Upstreams that were tried in this round.
        queued_s: Seconds for which it waited for its last connection.
        rounds: Number of completed rounds through all upstreams.
        was_sent: Whether it was sent to an upstream.
        last_rejection: The last rejection, or None.
    """

    __slots__ = (
        "statement",
        "requirement",
        "read",
        "tried",
        "queued_s",
        "rounds",
        "was_sent",
        "last_rejection",
    )

    def __init__(self, statement: Statement, requirement: ReadRequirement) -> None:
        self.statement = statement
        self.requirement = requirement
        self.read = statement.build_placement_request(requirement.position)
        self.tried: set[str] = set()
        self.queued_s = 0.0
        self.rounds = 0
        self.was_sent = False
        self.last_rejection: Reply | None = None

    async def serve(self) -> Reply:
        """Try upstreams until one serves the read.

        Returns:
            The reply, without a rejection.

        Raises:
            RequestError: If none serves it within the time limit of the route.
        """
        for attempt in range(MAXIMUM_ATTEMPTS):
            self.statement.check_deadline(self.was_sent)
            member = await self.choose_member()
            reply = await self.try_member(member)
            if reply is None:
                continue
            if reply.rejection is None:
                self.log_placed(member, attempt)
                return reply
            self.record_rejection(member, reply)
        raise self.build_failure()

    async def choose_member(self) -> Member:
        """Return the upstream to try next.

        Raises:
            RequestError: If none can serve it, or it is shed.
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
                ErrorKind.NO_UPSTREAM, "no upstream of the group replies"
            )
        return group.members[order[0]]

    def check_alternatives(self, rejection: RequestError) -> None:
        """Check that another upstream can be tried after a queue rejected the read.

        Raises:
            RequestError: The rejection, if every other upstream was tried.
        """
        others = order_upstreams(self.statement.group, self.read, self.tried)
        if self.requirement.position is None or not others:
            raise rejection

    def compute_pause(self) -> float:
        """Return the pause before the next round, in seconds."""
        pause_s = ROUND_PAUSE_S * 2.0 ** max(0, self.rounds - 1)
        return min(pause_s, MAXIMUM_PAUSE_S, max(0.0, self.statement.remaining_s))

    async def try_member(self, member: Member) -> Reply | None:
        """Run the read at one upstream.

        Returns:
            Its reply, or None if none came.

        Raises:
            RequestError: If it can't be served within the time limit of the route.
        """
        statement = self.statement
        self.tried.add(member.member_id)
        queued_at_s = now_s()
        try:
            link = await member.pool.acquire(
                statement.caller,
                statement.connection_deadline_s,
                statement.account,
                statement.build_work_terms(
                    needs_primary=self.requirement.position is None
                ),
            )
        except UpstreamLostError as error:
            self.record_lost(member, error.reason)
            return None
        except RequestError as error:
            if not statement.account:
                # The queue of an account says nothing about the other accounts.
                member.deprioritize()
            self.check_alternatives(error)
            return None
        started_s = now_s()
        self.queued_s = started_s - queued_at_s
        proof = None
        if self.requirement.position is None:
            proof = start_proof(statement.group, member)
        try:
            self.was_sent = True
            reply, position = await self.read_at(member, link)
        except UpstreamLostError as error:
            self.record_lost(member, error.reason)
            return None
        except ReplyTimeoutError:
            # The reply takes at least this long. If that were not recorded, an upstream
            # that has become slow would be abandoned again and again.
            member.record_reply_time(now_s() - started_s)
            self.record_lost(member, "no reply within the limit of its reply times")
            return None
        finally:
            member.pool.release(link)
        statement.group.record_outcome(member, reply)
        if reply.rejection is None:
            member.record_reply_time(now_s() - started_s)
        member.record_position(reply.position)
        if proof is not None and reply.rejection is None:
            return await proof.confirm(position) or reply
        return reply

    async def read_at(
        self, member: Member, link: UpstreamLink
    ) -> tuple[Reply, LogPosition | None]:
        """Set up the session on the connection and run the read.

        Returns:
            The reply, and the position of the upstream's log before the read.
        """
        await set_up_session(self.statement, link)
        limit_s = min(self.statement.remaining_s, member.silence_limit_s)
        if self.requirement.position is None:
            return await read_in_transaction(self.statement, member, link, limit_s)
        request = self.statement.request.with_position(self.requirement.position)
        (reply,) = await link.exchange([request], limit_s)
        return reply, reply.position

    def record_rejection(self, member: Member, reply: Reply) -> None:
        """Record and log a rejection by an upstream."""
        self.last_rejection = reply
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
        """Record and log a lost connection to an upstream."""
        member.deprioritize()
        log_failure(
            "read_upstream_lost",
            request=self.statement.request.log_id,
            group=self.statement.group.name,
            upstream=member.member_id,
            reason=reason,
        )

    def log_placed(self, member: Member, attempt: int) -> None:
        """Log the placement of the served read and count it."""
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
            tries=attempt + 1,
            queued_s=round(self.queued_s, 4),
            elapsed_s=round(elapsed_s, 4),
        )

    def build_failure(self) -> RequestError:
        """Build the error after the last attempt."""
        if (
            self.last_rejection is not None
            and self.last_rejection.rejection is RejectionKind.FAILED
        ):
            return RequestError(ErrorKind.STATEMENT_FAILED, self.last_rejection.detail)
        if (
            self.last_rejection is not None
            and self.last_rejection.rejection is RejectionKind.TIMED_OUT
        ):
            return RequestError(
                ErrorKind.STATEMENT_TIMED_OUT, self.last_rejection.detail
            )
        reason = (
            self.last_rejection.detail
            if self.last_rejection is not None
            else "connections were lost"
        )
        return RequestError(ErrorKind.NO_UPSTREAM, reason)


async def serve_read(statement: Statement, last_commit: LogPosition | None) -> Reply:
    """Serve a read outside a transaction.

    Args:
        statement: The read.
        last_commit: Position of the session's newest commit, or None.

    Returns:
        The reply, without a rejection.

    Raises:
        RequestError: If it can't be served.
    """
    requirement = find_requirement(
        statement.route, statement.group, last_commit, statement.arrived_s
    )
    return await ReadPlacement(statement, requirement).serve()
