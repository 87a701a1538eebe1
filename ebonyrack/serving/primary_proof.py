"""Shows that the upstream of a strict read leads its group at the time of the read."""

from __future__ import annotations

import asyncio

from ebonyrack.core.clock import boot_time_s
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.members.group import Group
from ebonyrack.members.link import UpstreamLink
from ebonyrack.members.member import Member
from ebonyrack.placing.leadership import LeadershipVerdict
from ebonyrack.requests.reply import RejectionKind
from ebonyrack.requests.reply import Reply
from ebonyrack.requests.request import BEGIN_REQUEST
from ebonyrack.requests.request import ROLLBACK_REQUEST
from ebonyrack.serving.statement import Statement


async def read_at_proven_primary(
    statement: Statement, member: Member, link: UpstreamLink, timeout_s: float
) -> Reply:
    """Read at an upstream that must be the primary at the time of the read.

    The read runs in a read-write transaction, which an upstream that is no longer the
    primary rejects. All requests go in one send, so the proof costs no round trip.
    Where a replaced primary may go on as before, a replica is asked meanwhile.

    Args:
        statement: The read.
        member: The upstream.
        link: Connection to it.
        timeout_s: Seconds to wait.

    Returns:
        The reply to the read, or a rejection if the upstream may not be the primary.

    Raises:
        UpstreamLostError: If the connection broke.
        ReplyTimeoutError: If no reply came in time.
    """
    sent_at_s = boot_time_s()
    check = start_leadership_check(statement.group)
    began, reply, _ = await link.exchange(
        [BEGIN_REQUEST, statement.request, ROLLBACK_REQUEST], timeout_s
    )
    record_begin_reply(statement.group, member, began, sent_at_s)
    if began.rejection is not None:
        return began
    return (
        await confirm_leadership(statement.group, member, check, began, sent_at_s)
        or reply
    )


def start_leadership_check(group: Group) -> asyncio.Task[LeadershipVerdict] | None:
    """Start to check that a group's primary leads; None if its own replies show it."""
    return group.leadership.start() if group.leadership is not None else None


async def confirm_leadership(
    group: Group,
    member: Member,
    check: asyncio.Task[LeadershipVerdict] | None,
    began: Reply,
    sent_at_s: float,
) -> Reply | None:
    """Wait for a leadership check that was started before a BEGIN was sent.

    Args:
        group: The group.
        member: The upstream that accepted the BEGIN.
        check: The check, or None if the reply itself shows that the upstream leads.
        began: Its reply to the BEGIN.
        sent_at_s: Time before the check was started and the BEGIN was sent, on the
            boot clock.

    Returns:
        None if the upstream led, otherwise a rejection.

    Raises:
        RequestError: NO_PRIMARY if no replica tells.
    """
    if check is None:
        return None
    verdict = await asyncio.shield(check)
    if verdict is LeadershipVerdict.LEADS and member is group.primary:
        group.record_primary_reply(member, sent_at_s, began.position)
        return None
    if verdict is LeadershipVerdict.INCONCLUSIVE:
        raise RequestError(
            ErrorKind.NO_PRIMARY, f"no replica shows that {member.member_id} leads"
        )
    return Reply(
        rejection=RejectionKind.READ_ONLY, detail=f"leadership check: {verdict}"
    )


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
