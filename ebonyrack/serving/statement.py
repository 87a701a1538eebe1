"""A caller's statement with its deadlines, and the steps to run it on an upstream."""

from __future__ import annotations

import itertools
import random

from msgspec import Struct
from msgspec import field

from ebonyrack.core.clock import boot_time_s
from ebonyrack.core.clock import now_s
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.core.position import LogPosition
from ebonyrack.limits.admission import Admission
from ebonyrack.members.group import Group
from ebonyrack.members.link import UpstreamLink
from ebonyrack.members.member import Member
from ebonyrack.members.read_candidates import PlacementRequest
from ebonyrack.members.session_context import PreparedStatement
from ebonyrack.members.session_context import SessionContext
from ebonyrack.placing.shedding import WorkClass
from ebonyrack.pooling.fair_order import WorkTerms
from ebonyrack.pooling.upstream_lost import UpstreamLostError
from ebonyrack.requests.reply import Reply
from ebonyrack.requests.request import Request
from ebonyrack.requests.request import RequestKind
from ebonyrack.routes.route import Route

SETUP_TIMEOUT_S = 0.5
# Opening a connection takes some ten milliseconds, and a hundred while all slots of the
# upstream are in use.
MINIMUM_CONNECTION_WAIT_S = 0.1

write_numbers = itertools.count()


class Statement(Struct):
    """One statement of a caller that is being served.

    Attributes:
        request: The request; it names a prepared statement as upstreams know it.
        prepared: The prepared statement that it executes, or None.
        route: Route of the session.
        group: Its database group.
        context: The caller's session values and prepared statements.
        arrived_s: Arrival time, on the boot clock.
        deadline_s: Monotonic time at which the route's time limit ends.
        queue_deadline_s: Monotonic time up to which it may wait for a connection. A
            caller that is rejected by then has time to try another proxy, whose
            connections may be free; an answer after its target is worth little.
        shedding_draw: Random number that decides whether the statement is shed.
        admission: Permission of its operation under the limit of the account.
    """

    request: Request
    prepared: PreparedStatement | None
    route: Route
    group: Group
    context: SessionContext
    arrived_s: float
    deadline_s: float
    queue_deadline_s: float
    shedding_draw: float
    admission: Admission = field(default_factory=Admission)

    @property
    def caller(self) -> str:
        """Name under which it waits in queues: its account, else its database."""
        if self.account:
            return self.account
        return self.route.database.decode("utf-8", "replace")

    @property
    def account(self) -> str:
        """Client account whose connections it uses; empty for an anonymous caller."""
        return self.context.account

    @property
    def connection_deadline_s(self) -> float:
        """Monotonic time up to which the next attempt may wait for a connection.

        A statement that has waited for a primary or for a lost reply still gets the
        time to open a connection.
        """
        earliest_s = now_s() + MINIMUM_CONNECTION_WAIT_S
        return min(self.deadline_s, max(self.queue_deadline_s, earliest_s))

    @property
    def remaining_s(self) -> float:
        """Remaining seconds until the deadline."""
        return self.deadline_s - now_s()

    @property
    def elapsed_s(self) -> float:
        """Seconds since its arrival."""
        return boot_time_s() - self.arrived_s

    @property
    def writes(self) -> bool:
        """Whether the statement writes."""
        if self.prepared is not None:
            return self.prepared.writes
        return self.request.kind is RequestKind.WRITE

    def build_work_terms(
        self, begins_transaction: bool = False, needs_primary: bool = True
    ) -> WorkTerms:
        """Return how it waits for a connection.

        Args:
            begins_transaction: Whether it begins a transaction.
            needs_primary: Whether no other upstream may serve it.
        """
        if not self.account:
            return WorkTerms(waits_for_room=needs_primary)
        return WorkTerms(
            self.route.priority,
            begins_transaction,
            self.context.has_left,
            needs_primary,
        )

    def build_placement_request(self, position: LogPosition | None) -> PlacementRequest:
        """Return what its placement depends on.

        Args:
            position: Position that it must see, or None.
        """
        route = self.route
        work_class = WorkClass(route.priority, route.target_latency_s)
        return PlacementRequest(
            position, self.caller, self.account, work_class, self.shedding_draw
        )

    def check_deadline(self, was_sent: bool) -> None:
        """Fail a statement whose deadline has passed or whose caller has left.

        Args:
            was_sent: Whether it was sent to an upstream.

        Raises:
            RequestError: If it can't be served any more.
        """
        if self.account and not was_sent and self.context.has_left():
            raise RequestError(ErrorKind.WAIT_TOO_LONG, "the caller has left")
        if self.remaining_s > 0:
            return
        if was_sent:
            raise RequestError(ErrorKind.STATEMENT_TIMED_OUT)
        raise RequestError(
            ErrorKind.WAIT_TOO_LONG, "the time limit of the route has passed"
        )


def build_statement(
    request: Request, route: Route, group: Group, context: SessionContext
) -> Statement:
    """Build a statement from a request that has just arrived.

    Args:
        request: The caller's request.
        route: Route of the session.
        group: Its database group.
        context: The caller's session values and prepared statements.

    Raises:
        RequestError: UNKNOWN_STATEMENT if it executes a name that isn't prepared.
    """
    prepared = None
    if request.kind is RequestKind.EXECUTE:
        prepared = context.prepared.get(request.name)
        if prepared is None:
            raise RequestError(ErrorKind.UNKNOWN_STATEMENT)
        request = Request(
            RequestKind.EXECUTE,
            request.request_id,
            request.text,
            prepared.upstream_name,
            request.argument,
        )
    now = now_s() - context.waited_s
    return Statement(
        request=request,
        prepared=prepared,
        route=route,
        group=group,
        context=context,
        arrived_s=boot_time_s(),
        deadline_s=now + route.statement_timeout_s,
        queue_deadline_s=now + min(route.target_latency_s, route.statement_timeout_s),
        shedding_draw=random.random(),
    )


async def set_up_session(statement: Statement, link: UpstreamLink) -> None:
    """Set up the caller's session on a connection before its statement is sent.

    Raises:
        UpstreamLostError, ReplyTimeoutError: If that failed.
        RequestError: RATE_LIMITED if the operation may not be sent any more.
    """
    await link.set_up_session(statement.context, statement.prepared, SETUP_TIMEOUT_S)
    rejection = await statement.admission.confirm()
    if rejection is not None:
        raise RequestError(
            ErrorKind.RATE_LIMITED, rejection.reason, rejection.retry_after_s
        )


async def send_committing_request(
    group: Group,
    member: Member,
    link: UpstreamLink,
    request: Request,
    timeout_s: float,
) -> Reply:
    """Send a write outside a transaction, or the commit of one that has written.

    Args:
        group: The group.
        member: Its primary.
        link: Connection to it.
        request: The write or commit.
        timeout_s: Seconds to wait.

    Returns:
        The reply.

    Raises:
        UpstreamLostError: If the connection broke, or a change of primary may lose the
            commit; the outcome is not known.
        ReplyTimeoutError: If no reply came in time; the outcome is not known.
    """
    deadline_s = now_s() + timeout_s
    # The commit comes after this position, so what was logged up to it is acknowledged
    # with the commit; the reply may report a log that has grown further.
    position_before = member.position
    number = next(write_numbers)
    sent_at_s = boot_time_s()
    member.write_sent_s[number] = sent_at_s
    try:
        (reply,) = await link.exchange([request], timeout_s, is_abandonable=False)
    finally:
        member.write_sent_s.pop(number, None)
    if reply.rejection is None:
        member.committed_sent_s = max(member.committed_sent_s, sent_at_s)
        doubt = await group.commit_check.confirm(
            member, reply.position, deadline_s - now_s()
        )
        if doubt is not None:
            raise UpstreamLostError(doubt)
        group.record_acknowledged(position_before)
        group.record_primary_reply(member, sent_at_s, reply.position)
    return reply
