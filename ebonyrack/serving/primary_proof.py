"""Shows that the upstream of a strict read leads its group at the time of the read."""

from __future__ import annotations

import asyncio

from msgspec import Struct

from ebonyrack.core.clock import boot_time_s
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.core.position import LogPosition
from ebonyrack.members.group import Group
from ebonyrack.members.link import UpstreamLink
from ebonyrack.members.member import Member
from ebonyrack.placing.leadership import LeadershipVerdict
from ebonyrack.requests.reply import RejectionKind
from ebonyrack.requests.reply import Reply
from ebonyrack.requests.request import BEGIN_REQUEST
from ebonyrack.requests.request import ROLLBACK_REQUEST
from ebonyrack.serving.statement import Statement


class PrimaryProof(Struct, frozen=True):
    """What shows that an upstream led when a request was run there.

    Attributes:
        group: The group.
        member: The upstream.
        check: Check with the replicas that was started before the request was sent;
            None if the upstream's reply itself shows that it led.
        started_s: Time before that, on the boot clock.
    """

    group: Group
    member: Member
    check: asyncio.Task[LeadershipVerdict] | None
    started_s: float

    async def confirm(self, position: LogPosition | None) -> Reply | None:
        """Wait until the check has ended.

        Args:
            position: Position in the upstream's reply to BEGIN.

        Returns:
            None if the upstream led, otherwise a rejection of the request.

        Raises:
            RequestError: NO_PRIMARY if no replica tells.
        """
        if self.check is None:
            return None
        verdict = await asyncio.shield(self.check)
        if verdict is LeadershipVerdict.LEADS and self.member is self.group.primary:
            self.group.record_primary_reply(self.member, self.started_s, position)
            return None
        if verdict is LeadershipVerdict.INCONCLUSIVE:
            raise RequestError(
                ErrorKind.NO_PRIMARY,
                f"no replica shows that {self.member.member_id} leads",
            )
        return Reply(
            rejection=RejectionKind.READ_ONLY, detail=f"leadership check: {verdict}"
        )


def start_proof(group: Group, member: Member) -> PrimaryProof:
    """Start to show that an upstream leads; its request is sent after this call."""
    started_s = boot_time_s()
    check = group.leadership.request() if group.leadership is not None else None
    return PrimaryProof(group, member, check, started_s)


async def read_in_transaction(
    statement: Statement, member: Member, link: UpstreamLink, timeout_s: float
) -> tuple[Reply, LogPosition | None]:
    """Read in a read-write transaction, which only an upstream that leads accepts.

    All requests go in one send, so that this costs no round trip.

    Args:
        statement: The read.
        member: The upstream.
        link: Connection to it.
        timeout_s: Seconds to wait.

    Returns:
        The reply to the read, or to BEGIN if that is rejected, and the position of the
        upstream's log before the read.

    Raises:
        UpstreamLostError: If the connection broke.
        ReplyTimeoutError: If no reply came in time.
    """
    sent_at_s = boot_time_s()
    began, reply, _ = await link.exchange(
        [BEGIN_REQUEST, statement.request, ROLLBACK_REQUEST], timeout_s
    )
    record_begin_reply(statement.group, member, began, sent_at_s)
    return (began if began.rejection is not None else reply), began.position


def record_begin_reply(
    group: Group, member: Member, began: Reply, sent_at_s: float
) -> None:
    """Record what the reply to a read-write BEGIN proves about the primary.

    Args:
        group: The group.
        member: The upstream.
        began: Its reply.
        sent_at_s: Send time of BEGIN, on the boot clock.
    """
    if began.rejection is None:
        if group.leadership is None:
            group.record_primary_reply(member, sent_at_s, began.position)
    elif began.rejection is RejectionKind.READ_ONLY:
        group.record_not_primary(member)
