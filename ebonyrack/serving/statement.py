"""Runs one statement on one upstream, with the caller's session set up before."""

from __future__ import annotations

import itertools
import random
from dataclasses import dataclass

from ebonyrack.core.clock import boot_time_s
from ebonyrack.core.clock import now_s
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.core.position import LogPosition
from ebonyrack.members.group import Group
from ebonyrack.members.link import UpstreamLink
from ebonyrack.members.member import Member
from ebonyrack.members.read_candidates import PlacementRequest
from ebonyrack.members.session_context import PreparedStatement
from ebonyrack.members.session_context import SessionContext
from ebonyrack.placing.shedding import WorkClass
from ebonyrack.requests.reply import RejectionKind
from ebonyrack.requests.reply import Reply
from ebonyrack.requests.request import BEGIN_REQUEST
from ebonyrack.requests.request import ROLLBACK_REQUEST
from ebonyrack.requests.request import Request
from ebonyrack.requests.request import RequestKind
from ebonyrack.routes.route import Route

SETUP_TIMEOUT_S = 0.5
# A connection is opened within some ten milliseconds, by an upstream whose slots are
# taken within a hundred.
MINIMUM_CONNECTION_WAIT_S = 0.1

write_numbers = itertools.count()


@dataclass(slots=True)
class Statement:
    """One statement of a caller, on its way.

    Attributes:
        request: The statement, with the name that upstreams know.
        prepared: The prepared statement that it executes, or None.
        route: Route of the session.
        group: Its database group.
        context: What the caller has set and prepared.
        arrived_s: Time of arrival, on the boot clock.
        deadline_s: Monotonic time at which the route's time for it ends.
        queue_deadline_s: Monotonic time up to which it may wait for a connection. A
            caller that is refused by then has time to try another proxy, whose
            connections may be free; after its target an answer is worth little.
        shedding_draw: Random number by which it is chosen to give way, or not.
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

    @property
    def caller(self) -> str:
        """Name under which it waits in queues: the database of its route."""
        return self.route.database.decode("utf-8", "replace")

    @property
    def connection_deadline_s(self) -> float:
        """Monotonic time up to which the next try may wait for a connection.

        One that has waited for a primary or for a lost reply gets the time to open a
        connection too.
        """
        earliest_s = now_s() + MINIMUM_CONNECTION_WAIT_S
        return min(self.deadline_s, max(self.queue_deadline_s, earliest_s))

    @property
    def remaining_s(self) -> float:
        """Seconds that the route still allows."""
        return self.deadline_s - now_s()

    @property
    def elapsed_s(self) -> float:
        """Seconds since it arrived."""
        return boot_time_s() - self.arrived_s

    @property
    def writes(self) -> bool:
        """Whether the statement writes."""
        if self.prepared is not None:
            return self.prepared.writes
        return self.request.kind is RequestKind.WRITE

    def build_placement_request(self, position: LogPosition | None) -> PlacementRequest:
        """Return what placing it needs to know.

        Args:
            position: Position that it must see, or None.
        """
        route = self.route
        work_class = WorkClass(route.priority, route.target_latency_s)
        return PlacementRequest(position, self.caller, work_class, self.shedding_draw)

    def check_deadline(self, was_sent: bool) -> None:
        """End a statement whose time is over.

        Args:
            was_sent: Whether an upstream was working on it.

        Raises:
            RequestError: If its time is over.
        """
        if self.remaining_s > 0:
            return
        if was_sent:
            raise RequestError(ErrorKind.STATEMENT_TIMED_OUT)
        raise RequestError(ErrorKind.WAIT_TOO_LONG, "the time of the route is over")


def build_statement(
    request: Request, route: Route, group: Group, context: SessionContext
) -> Statement:
    """Build the run of a statement that has just arrived.

    Args:
        request: The caller's statement.
        route: Route of the session.
        group: Its database group.
        context: What the caller has set and prepared.

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
    now = now_s()
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
    """Bring a connection to the caller's session before its statement is sent."""
    await link.set_up_session(statement.context, statement.prepared, SETUP_TIMEOUT_S)


async def read_at_proven_primary(
    statement: Statement, member: Member, link: UpstreamLink, timeout_s: float
) -> Reply:
    """Read at an upstream that must be the primary while it reads.

    The read runs in a plain transaction, which an upstream that has lost the lead
    refuses; all goes in one send, so the proof costs no round trip.

    Args:
        statement: The read.
        member: The upstream.
        link: Connection to it.
        timeout_s: Seconds to wait.

    Returns:
        The reply to the read; a refusal to lead in place of it.

    Raises:
        UpstreamLostError: If the connection broke.
        ReplyTimeoutError: If no reply came in time.
    """
    sent_at_s = boot_time_s()
    began, reply, _ = await link.exchange(
        [BEGIN_REQUEST, statement.request, ROLLBACK_REQUEST], timeout_s
    )
    record_begin_reply(statement.group, member, began, sent_at_s)
    return began if began.rejection is not None else reply


def record_begin_reply(
    group: Group, member: Member, began: Reply, sent_at_s: float
) -> None:
    """Take what the answer to a plain transaction's start tells of the lead.

    Args:
        group: The group.
        member: The upstream.
        began: Its answer.
        sent_at_s: Time of sending, on the boot clock.
    """
    if began.rejection is None:
        group.record_primary_reply(member, sent_at_s, began.position)
    elif began.rejection is RejectionKind.READ_ONLY:
        group.record_not_primary(member)


async def send_commit(
    group: Group,
    member: Member,
    link: UpstreamLink,
    request: Request,
    timeout_s: float,
) -> Reply:
    """Send a lone write or the commit of a transaction that wrote.

    Args:
        group: The group.
        member: Its primary.
        link: Connection to it.
        request: The write or commit.
        timeout_s: Seconds to wait.

    Returns:
        The reply.

    Raises:
        UpstreamLostError: If the connection broke; the outcome is not known.
        ReplyTimeoutError: If no reply came in time; the outcome is not known.
    """
    number = next(write_numbers)
    sent_at_s = boot_time_s()
    member.write_sent_s[number] = sent_at_s
    try:
        (reply,) = await link.exchange([request], timeout_s, is_abandonable=False)
    finally:
        member.write_sent_s.pop(number, None)
    if reply.rejection is None:
        member.committed_sent_s = max(member.committed_sent_s, sent_at_s)
        group.record_primary_reply(member, sent_at_s, reply.position)
    return reply
