"""A caller's transaction: begun at an upstream with its first statement."""

from __future__ import annotations

import asyncio

from ebonyrack.core.clock import boot_time_s
from ebonyrack.core.clock import now_s
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.core.logs import log_failure
from ebonyrack.core.position import LogPosition
from ebonyrack.members.group import Group
from ebonyrack.members.link import ReplyTimeoutError
from ebonyrack.members.link import UpstreamLink
from ebonyrack.members.member import Member
from ebonyrack.members.read_candidates import check_crowding
from ebonyrack.members.read_candidates import order_reads
from ebonyrack.pooling.upstream_lost import UpstreamLostError
from ebonyrack.requests.reply import RejectionKind
from ebonyrack.requests.reply import Reply
from ebonyrack.requests.reply import TransactionState
from ebonyrack.requests.request import OWN_BEGIN
from ebonyrack.requests.request import OWN_ROLLBACK
from ebonyrack.requests.request import Request
from ebonyrack.requests.request import RequestKind
from ebonyrack.routes.route import Route
from ebonyrack.serving.read_need import ReadNeed
from ebonyrack.serving.read_need import find_need
from ebonyrack.serving.statement_run import StatementRun
from ebonyrack.serving.statement_run import note_begun
from ebonyrack.serving.statement_run import run_commit
from ebonyrack.serving.statement_run import set_up

# A first statement that was not run is tried elsewhere this often.
MAXIMUM_TRIES = 8
# Before the second try; each later pause is twice as long.
RETRY_PAUSE_S = 0.01
# A statement that found all slots taken, in a transaction that stays open, is sent
# again after this.
BUSY_PAUSE_S = 0.02
ROLLBACK_TIMEOUT_S = 0.5


class CallerTransaction:
    """One transaction of a caller.

    It holds no connection until its first statement, so that callers who begin and
    think cost nothing.

    Attributes:
        route: Route at its beginning.
        group: Its database group.
        is_read_only: Whether it may not write.
        need: What its reads must see; only a read-only one may be at a replica.
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
        "need",
        "member",
        "link",
        "has_written",
        "is_failed",
        "used_at_s",
    )

    def __init__(
        self, route: Route, group: Group, is_read_only: bool, seen: LogPosition | None
    ) -> None:
        self.route = route
        self.group = group
        self.is_read_only = is_read_only
        self.need = ReadNeed(None)
        if is_read_only:
            self.need = find_need(route, group, seen, boot_time_s())
        self.member: Member | None = None
        self.link: UpstreamLink | None = None
        self.has_written = False
        self.is_failed = False
        self.used_at_s = now_s()

    @property
    def state(self) -> TransactionState:
        """State that the caller is told."""
        return TransactionState.FAILED if self.is_failed else TransactionState.OPEN

    def fail(self) -> None:
        """Give the connection up; the transaction can only be rolled back."""
        self.is_failed = True
        self.release()

    def release(self) -> None:
        """Give the connection back; an open transaction is rolled back first."""
        link, member = self.link, self.member
        self.link = None
        if link is None or member is None:
            return
        if link.is_clean or not link.is_open or link.due:
            member.pool.release(link)
            return
        task = asyncio.create_task(roll_back(member, link))
        ROLLBACKS.add(task)
        task.add_done_callback(ROLLBACKS.discard)

    async def run(self, run: StatementRun) -> Reply:
        """Run a read or write of the transaction.

        Args:
            run: The statement.

        Returns:
            The reply, without a rejection.

        Raises:
            RequestError: If it failed; the transaction keeps nothing then.
        """
        if run.writes and self.is_read_only:
            raise RequestError(ErrorKind.READ_ONLY_TRANSACTION)
        if self.link is None:
            reply = await self.begin(run)
        else:
            reply = await self.go_on(run)
        self.used_at_s = now_s()
        self.has_written = self.has_written or run.writes
        if self.member is not None:
            self.member.pool.grant_slots()
        if reply.rejection is not None:
            raise build_failure(reply)
        return reply

    async def begin(self, run: StatementRun) -> Reply:
        """Begin at an upstream and run the first statement there."""
        reason = ""
        tried: set[str] = set()
        for number in range(MAXIMUM_TRIES):
            if number > 0:
                await asyncio.sleep(RETRY_PAUSE_S * 2.0 ** (number - 1))
            run.check_time(was_offered=False)
            member = await self.choose_member(run, tried)
            tried.add(member.member_id)
            try:
                link = await member.pool.acquire(run.caller, run.connection_deadline_s)
            except UpstreamLostError as error:
                member.note_trouble()
                reason = error.reason
                continue
            except RequestError:
                member.note_trouble()
                is_elsewhere = len(tried) < len(self.group.members)
                if self.need.position is None or not is_elsewhere:
                    raise
                continue
            self.member, self.link = member, link
            try:
                reply = await self.begin_at(run, member, link)
            except (UpstreamLostError, ReplyTimeoutError) as error:
                member.note_trouble()
                reason = repr(error)
                self.release()
                continue
            except BaseException:
                self.release()
                raise
            if reply.rejection is None or not reply.rejection.is_not_run:
                return reply
            self.note_not_begun(run, member, reply)
            reason = reply.detail
            self.release()
        raise RequestError(ErrorKind.NO_UPSTREAM, f"not begun: {reason}")

    async def choose_member(self, run: StatementRun, tried: set[str]) -> Member:
        """Return the upstream at which to begin."""
        read = run.place(self.need.position)
        if self.need.position is None:
            leader = await self.group.wait_for_leader(run.deadline_s)
            check_crowding(self.group, read, leader)
            return leader
        order = order_reads(self.group, read, tried)
        if not order:
            tried.clear()
            order = order_reads(self.group, read, tried)
        if not order:
            raise RequestError(
                ErrorKind.NO_UPSTREAM, "no upstream of the group answers"
            )
        return self.group.members[order[0]]

    async def begin_at(
        self, run: StatementRun, member: Member, link: UpstreamLink
    ) -> Reply:
        """Begin, wait until that is done, and run the first statement.

        Sent along, the statement would run outside the transaction where the
        upstream refuses to begin.
        """
        await set_up(run, link)
        begin = OWN_BEGIN
        if self.need.position is not None:
            begin = Request(RequestKind.BEGIN_READ_ONLY, after=self.need.position)
        asked_at_s = boot_time_s()
        (began,) = await link.exchange([begin], run.time_left_s)
        member.note_position(began.position)
        if self.need.position is None:
            note_begun(self.group, member, began, asked_at_s)
        if began.rejection is not None or run.request.kind is RequestKind.COMMIT:
            return began
        (reply,) = await link.exchange([run.request], run.time_left_s)
        return reply

    async def go_on(self, run: StatementRun) -> Reply:
        """Run a later statement on the connection of the transaction."""
        assert self.link is not None
        try:
            await set_up(run, self.link)
            return await self.send(run, self.link)
        except UpstreamLostError as error:
            raise RequestError(ErrorKind.UPSTREAM_LOST, error.reason) from error
        except ReplyTimeoutError:
            raise RequestError(
                ErrorKind.UPSTREAM_LOST, "rolled back: no answer in time"
            ) from None

    async def commit(self, run: StatementRun) -> Reply:
        """Commit.

        Args:
            run: The commit.

        Returns:
            The reply, without a rejection.

        Raises:
            RequestError: UPSTREAM_LOST if nothing is kept, OUTCOME_UNKNOWN if that
                isn't known.
        """
        if self.link is None:
            # Nothing was run yet, but the caller needs an upstream's own answer.
            began = await self.begin(run)
            if began.rejection is not None:
                raise build_failure(began)
        assert self.link is not None and self.member is not None
        member = self.member
        try:
            reply = await self.send(run, self.link)
        except UpstreamLostError as error:
            raise self.build_unknown(run, error.reason) from error
        except ReplyTimeoutError:
            raise self.build_unknown(run, "no answer in time") from None
        if reply.rejection is None:
            return reply
        if reply.rejection is RejectionKind.READ_ONLY:
            self.group.note_not_leading(member)
        if reply.rejection.is_not_run or not self.has_written:
            raise RequestError(
                ErrorKind.UPSTREAM_LOST, f"not committed: {reply.detail}"
            )
        raise RequestError(ErrorKind.OUTCOME_UNKNOWN, reply.detail)

    async def send(self, run: StatementRun, link: UpstreamLink) -> Reply:
        """Send a statement, again while the upstream has no slot for it."""
        is_commit = run.request.kind is RequestKind.COMMIT
        while True:
            if is_commit and self.has_written:
                assert self.member is not None
                reply = await run_commit(
                    self.group, self.member, link, run.request, run.time_left_s
                )
            else:
                (reply,) = await link.exchange([run.request], run.time_left_s)
            is_open = reply.state is TransactionState.OPEN
            if reply.rejection is not RejectionKind.BUSY or not is_open:
                return reply
            assert self.member is not None
            self.member.pool.record_overload()
            if run.time_left_s < 2 * BUSY_PAUSE_S:
                return reply
            await asyncio.sleep(BUSY_PAUSE_S)

    def build_unknown(self, run: StatementRun, reason: str) -> RequestError:
        """Build the answer to a commit without a reply."""
        log_failure(
            "commit_outcome_unknown",
            request=run.request.log_id,
            group=self.group.name,
            upstream=self.member.member_id if self.member is not None else None,
            has_written=self.has_written,
            reason=reason,
        )
        if not self.has_written:
            return RequestError(ErrorKind.UPSTREAM_LOST, "nothing was written")
        return RequestError(ErrorKind.OUTCOME_UNKNOWN, reason)

    def note_not_begun(self, run: StatementRun, member: Member, reply: Reply) -> None:
        """Learn from a refusal to begin."""
        member.note_rejection(reply, self.need.position)
        log_failure(
            "transaction_not_begun",
            request=run.request.log_id,
            group=self.group.name,
            upstream=member.member_id,
            reason=reply.detail,
            position=str(self.need.position),
        )


# Rollbacks that run behind a caller's back; a task needs somebody who holds it.
ROLLBACKS: set[asyncio.Task[None]] = set()


async def roll_back(member: Member, link: UpstreamLink) -> None:
    """Roll a transaction back and give its connection to the pool."""
    try:
        await link.exchange([OWN_ROLLBACK], ROLLBACK_TIMEOUT_S)
    except (UpstreamLostError, ReplyTimeoutError) as error:
        log_failure(
            "rollback_unanswered", upstream=member.member_id, reason=repr(error)
        )
    finally:
        member.pool.release(link)


def build_failure(reply: Reply) -> RequestError:
    """Build the answer to a statement that failed inside a transaction.

    Nothing of the transaction is kept: it is rolled back, and was not committed.
    """
    return RequestError(ErrorKind.UPSTREAM_LOST, f"rolled back: {reply.detail}")
