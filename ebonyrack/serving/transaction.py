"""A caller's transaction, which begins at an upstream with its first statement."""

from __future__ import annotations

import asyncio

from ebonyrack.core.clock import boot_time_s
from ebonyrack.core.clock import now_s
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.core.logs import log_failure
from ebonyrack.core.position import LogPosition
from ebonyrack.limits.admission import Admission
from ebonyrack.members.group import Group
from ebonyrack.members.link import ReplyTimeoutError
from ebonyrack.members.link import UpstreamLink
from ebonyrack.members.member import Member
from ebonyrack.members.read_candidates import check_shedding
from ebonyrack.members.read_candidates import order_upstreams
from ebonyrack.pooling.upstream_lost import UpstreamLostError
from ebonyrack.requests.reply import RejectionKind
from ebonyrack.requests.reply import Reply
from ebonyrack.requests.reply import TransactionState
from ebonyrack.requests.request import BEGIN_REQUEST
from ebonyrack.requests.request import ROLLBACK_REQUEST
from ebonyrack.requests.request import Request
from ebonyrack.requests.request import RequestKind
from ebonyrack.routes.route import Route
from ebonyrack.serving.primary_proof import record_begin_reply
from ebonyrack.serving.primary_proof import start_proof
from ebonyrack.serving.read_requirement import ReadRequirement
from ebonyrack.serving.read_requirement import find_requirement
from ebonyrack.serving.statement import Statement
from ebonyrack.serving.statement import send_committing_request
from ebonyrack.serving.statement import set_up_session

# Attempts at a first statement that was not run, at any of the upstreams.
MAXIMUM_ATTEMPTS = 8
# Pause before the second attempt; each later pause is twice as long.
RETRY_PAUSE_S = 0.01
# Pause before resending a statement of an open transaction that found all slots in use.
BUSY_PAUSE_S = 0.02
ROLLBACK_TIMEOUT_S = 0.5


class CallerTransaction:
    """One transaction of a caller.

    It holds no connection until its first statement, so that callers who are idle after
    BEGIN cost nothing.

    Attributes:
        route: Route at its beginning.
        group: Its database group.
        is_read_only: Whether it may not write.
        admission: Permission under the limit of the client account.
        requirement: What its reads must see; only a read-only transaction may run on a
            replica.
        member: The upstream on which it runs, once begun.
        link: Connection that it holds, or None.
        has_written: Whether a write was sent.
        is_failed: Whether it can only be rolled back.
        used_at_s: Monotonic time of its last statement.
    """

    __slots__ = (
        "route",
        "group",
        "is_read_only",
        "admission",
        "requirement",
        "member",
        "link",
        "has_written",
        "is_failed",
        "used_at_s",
    )

    def __init__(
        self,
        route: Route,
        group: Group,
        is_read_only: bool,
        last_commit: LogPosition | None,
        admission: Admission,
    ) -> None:
        self.route = route
        self.group = group
        self.is_read_only = is_read_only
        self.admission = admission
        self.requirement = ReadRequirement(None)
        if is_read_only:
            self.requirement = find_requirement(
                route, group, last_commit, boot_time_s()
            )
        self.member: Member | None = None
        self.link: UpstreamLink | None = None
        self.has_written = False
        self.is_failed = False
        self.used_at_s = now_s()

    @property
    def state(self) -> TransactionState:
        """Transaction state as reported to the caller."""
        return TransactionState.FAILED if self.is_failed else TransactionState.OPEN

    def fail(self) -> None:
        """Release the connection; the transaction can only be rolled back."""
        self.is_failed = True
        self.release()

    def release(self) -> None:
        """Release the connection; an open transaction is rolled back first."""
        self.admission.give_back()
        link, member = self.link, self.member
        self.link = None
        if link is None or member is None:
            return
        if link.is_clean or not link.is_open or link.outstanding_replies:
            member.pool.release(link)
            return
        task = asyncio.create_task(roll_back(member, link))
        PENDING_ROLLBACKS.add(task)
        task.add_done_callback(PENDING_ROLLBACKS.discard)

    async def execute(self, statement: Statement) -> Reply:
        """Run a read or write of the transaction.

        Args:
            statement: The statement.

        Returns:
            The reply, without a rejection.

        Raises:
            RequestError: If it failed; the transaction is rolled back then.
        """
        if statement.writes and self.is_read_only:
            raise RequestError(ErrorKind.READ_ONLY_TRANSACTION)
        if self.link is None:
            reply = await self.begin(statement)
        else:
            reply = await self.run_next(statement)
        self.used_at_s = now_s()
        self.has_written = self.has_written or statement.writes
        if self.member is not None:
            self.group.record_outcome(self.member, reply)
            self.member.pool.grant_slots()
        if reply.rejection is not None:
            raise build_failure(reply)
        return reply

    async def begin(self, statement: Statement) -> Reply:
        """Begin at an upstream and run the first statement there."""
        reason = ""
        tried: set[str] = set()
        for attempt in range(MAXIMUM_ATTEMPTS):
            if attempt > 0:
                await asyncio.sleep(RETRY_PAUSE_S * 2.0 ** (attempt - 1))
            statement.check_deadline(was_sent=False)
            member = await self.choose_member(statement, tried)
            tried.add(member.member_id)
            try:
                link = await member.pool.acquire(
                    statement.caller,
                    statement.connection_deadline_s,
                    statement.account,
                    statement.build_work_terms(True, self.requirement.position is None),
                )
            except UpstreamLostError as error:
                member.deprioritize()
                reason = error.reason
                continue
            except RequestError:
                if not statement.account:
                    # The queue of an account says nothing about the other accounts.
                    member.deprioritize()
                has_alternative = len(tried) < len(self.group.members)
                if self.requirement.position is None or not has_alternative:
                    raise
                continue
            self.member, self.link = member, link
            try:
                reply = await self.begin_at(statement, member, link)
            except (UpstreamLostError, ReplyTimeoutError) as error:
                member.deprioritize()
                reason = repr(error)
                self.release()
                continue
            except BaseException:
                self.release()
                raise
            if reply.rejection is None or not reply.rejection.is_not_run:
                return reply
            self.record_begin_rejection(statement, member, reply)
            reason = reply.detail
            self.release()
        raise RequestError(ErrorKind.NO_UPSTREAM, f"not begun: {reason}")

    async def choose_member(self, statement: Statement, tried: set[str]) -> Member:
        """Return the upstream at which to begin."""
        read = statement.build_placement_request(self.requirement.position)
        if self.requirement.position is None:
            primary = await self.group.wait_for_primary(statement.deadline_s)
            check_shedding(self.group, read, primary)
            return primary
        order = order_upstreams(self.group, read, tried)
        if not order:
            tried.clear()
            order = order_upstreams(self.group, read, tried)
        if not order:
            raise RequestError(
                ErrorKind.NO_UPSTREAM, "no upstream of the group replies"
            )
        return self.group.members[order[0]]

    async def begin_at(
        self, statement: Statement, member: Member, link: UpstreamLink
    ) -> Reply:
        """Begin, wait for the reply, and run the first statement.

        If both were sent together and the upstream rejected BEGIN, the statement would
        run outside the transaction.
        """
        await set_up_session(statement, link)
        begin = BEGIN_REQUEST
        if self.requirement.position is not None:
            begin = Request(
                RequestKind.BEGIN_READ_ONLY, minimum_position=self.requirement.position
            )
        needs_primary = self.requirement.position is None
        ends_at_once = statement.request.kind is RequestKind.COMMIT
        sent_at_s = boot_time_s()
        proof = None
        if needs_primary and not ends_at_once:
            proof = start_proof(self.group, member)
        (began,) = await link.exchange([begin], statement.remaining_s)
        member.record_position(began.position)
        if needs_primary:
            record_begin_reply(self.group, member, began, sent_at_s)
        if began.rejection is not None or ends_at_once:
            return began
        (reply,) = await link.exchange([statement.request], statement.remaining_s)
        if proof is not None:
            return await proof.confirm(began.position) or reply
        return reply

    async def run_next(self, statement: Statement) -> Reply:
        """Run a later statement on the connection of the transaction."""
        assert self.link is not None
        try:
            await set_up_session(statement, self.link)
            return await self.send(statement, self.link)
        except UpstreamLostError as error:
            raise RequestError(ErrorKind.UPSTREAM_LOST, error.reason) from error
        except ReplyTimeoutError:
            raise RequestError(
                ErrorKind.UPSTREAM_LOST, "rolled back: no reply in time"
            ) from None

    async def commit(self, statement: Statement) -> Reply:
        """Commit.

        Args:
            statement: The commit.

        Returns:
            The reply, without a rejection.

        Raises:
            RequestError: UPSTREAM_LOST if nothing was committed, OUTCOME_UNKNOWN if
                that isn't known.
        """
        if self.link is None:
            # Nothing was run yet, but the caller needs the reply of an upstream.
            began = await self.begin(statement)
            if began.rejection is not None:
                raise build_failure(began)
        assert self.link is not None and self.member is not None
        member = self.member
        try:
            reply = await self.send(statement, self.link)
        except UpstreamLostError as error:
            raise self.build_outcome_unknown(statement, error.reason) from error
        except ReplyTimeoutError:
            raise self.build_outcome_unknown(statement, "no reply in time") from None
        if reply.rejection is None:
            return reply
        if reply.rejection is RejectionKind.READ_ONLY:
            self.group.record_not_primary(member)
        if reply.rejection.is_not_run or not self.has_written:
            raise RequestError(
                ErrorKind.UPSTREAM_LOST, f"not committed: {reply.detail}"
            )
        raise RequestError(ErrorKind.OUTCOME_UNKNOWN, reply.detail)

    async def send(self, statement: Statement, link: UpstreamLink) -> Reply:
        """Send a statement, retrying while the upstream has no free slot."""
        is_commit = statement.request.kind is RequestKind.COMMIT
        while True:
            if is_commit and self.has_written:
                assert self.member is not None
                reply = await send_committing_request(
                    self.group,
                    self.member,
                    link,
                    statement.request,
                    statement.remaining_s,
                )
            else:
                (reply,) = await link.exchange(
                    [statement.request], statement.remaining_s
                )
            is_open = reply.state is TransactionState.OPEN
            if reply.rejection is not RejectionKind.BUSY or not is_open:
                return reply
            assert self.member is not None
            self.member.pool.record_overload()
            if statement.remaining_s < 2 * BUSY_PAUSE_S:
                return reply
            await asyncio.sleep(BUSY_PAUSE_S)

    def build_outcome_unknown(self, statement: Statement, reason: str) -> RequestError:
        """Log a commit without a reply and build its error."""
        log_failure(
            "commit_outcome_unknown",
            request=statement.request.log_id,
            group=self.group.name,
            upstream=self.member.member_id if self.member is not None else None,
            has_written=self.has_written,
            reason=reason,
        )
        if not self.has_written:
            return RequestError(ErrorKind.UPSTREAM_LOST, "nothing was written")
        return RequestError(ErrorKind.OUTCOME_UNKNOWN, reason)

    def record_begin_rejection(
        self, statement: Statement, member: Member, reply: Reply
    ) -> None:
        """Record and log a rejection of BEGIN."""
        member.record_rejection(reply, self.requirement.position)
        log_failure(
            "transaction_not_begun",
            request=statement.request.log_id,
            group=self.group.name,
            upstream=member.member_id,
            reason=reply.detail,
            position=str(self.requirement.position),
        )


# Rollbacks that run in the background; asyncio keeps only weak references to tasks.
PENDING_ROLLBACKS: set[asyncio.Task[None]] = set()


async def roll_back(member: Member, link: UpstreamLink) -> None:
    """Roll back a transaction and release its connection to the pool."""
    try:
        await link.exchange([ROLLBACK_REQUEST], ROLLBACK_TIMEOUT_S)
    except (UpstreamLostError, ReplyTimeoutError) as error:
        log_failure(
            "rollback_unanswered", upstream=member.member_id, reason=repr(error)
        )
    finally:
        member.pool.release(link)


def build_failure(reply: Reply) -> RequestError:
    """Build the error for a statement that failed inside a transaction.

    The transaction is rolled back, so nothing of it is committed.
    """
    return RequestError(ErrorKind.UPSTREAM_LOST, f"rolled back: {reply.detail}")
